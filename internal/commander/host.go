package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

func init() {
	register("host forget", "Declare that an entry host is permanently down",
		"Informs all hosts that an incarnation of a host will never run again, so that they can use its floors of all limits. Use it only if the machine is certainly off: a host that is merely partitioned still uses its floors.",
		func(out *output) command { return &hostForgetCommand{out: out} })
}

type hostForgetCommand struct {
	fleetOptions
	out  *output
	Args struct {
		ID string `positional-arg-name:"NAME/INCARNATION" description:"as shown by the timeline command" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *hostForgetCommand) Execute([]string) error {
	id, err := parseHostID(c.Args.ID)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	responses, err := c.callAll(context.Background(), func(ctx context.Context, m *messenger.Messenger, r *hostResponse) error {
		_, err := m.Operator(r.Address).Forget(ctx, connect.NewRequest(&peerv1.ForgetRequest{Id: messenger.EncodeID(id)}))
		return err
	})
	if err != nil {
		return err
	}
	acknowledged := 0
	for _, r := range responses {
		if r.Err == nil {
			acknowledged++
		}
	}
	_, _ = fmt.Fprintf(c.out.stdout, "%d of %d hosts recorded that %s is permanently down\n", acknowledged, len(responses), id)
	if acknowledged == 0 {
		return errors.New("no host responded")
	}
	return nil
}

// parseHostID parses a host id in the form NAME/INCARNATION, with the
// incarnation in hexadecimal.
func parseHostID(text string) (tracker.HostID, error) {
	name, hex, ok := strings.Cut(text, "/")
	incarnation, err := strconv.ParseUint(hex, 16, 64)
	if !ok || name == "" || err != nil {
		return tracker.HostID{}, errors.Errorf("%q is not NAME/INCARNATION, such as host-1/66f2a1", text)
	}
	return tracker.HostID{Name: name, Incarnation: incarnation}, nil
}

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
	register("host forget", "Say that a host's machine has ended for good",
		"Tells all hosts that one run of a host will never act again, so that its floors of all limits can be used. Use it only when the machine is surely off: one that is merely cut off goes on using its floors.",
		func(out *output) command { return &hostForgetCommand{out: out} })
}

type hostForgetCommand struct {
	fleetOptions
	out  *output
	Args struct {
		ID string `positional-arg-name:"NAME/INCARNATION" description:"as the time line shows it" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *hostForgetCommand) Execute([]string) error {
	id, err := parseHostID(c.Args.ID)
	if err != nil {
		return failed(ExitUsage, err)
	}
	answers, err := c.ask(context.Background(), func(ctx context.Context, m *messenger.Messenger, a *hostAnswer) error {
		_, err := m.Operator(a.Address).Forget(ctx, connect.NewRequest(&peerv1.ForgetRequest{Id: messenger.EncodeID(id)}))
		return err
	})
	if err != nil {
		return err
	}
	told := 0
	for _, a := range answers {
		if a.Err == nil {
			told++
		}
	}
	_, _ = fmt.Fprintf(c.out.stdout, "%d of %d hosts know that %s has ended\n", told, len(answers), id)
	if told == 0 {
		return errors.New("no host answers")
	}
	return nil
}

func parseHostID(text string) (tracker.HostID, error) {
	name, hex, ok := strings.Cut(text, "/")
	incarnation, err := strconv.ParseUint(hex, 16, 64)
	if !ok || name == "" || err != nil {
		return tracker.HostID{}, errors.Errorf("%q is not NAME/INCARNATION, such as host-1/66f2a1", text)
	}
	return tracker.HostID{Name: name, Incarnation: incarnation}, nil
}

package commander

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/standin/backend"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
)

func init() {
	register("standin platform", "Run a stand-in for the platform",
		"Serves an object store and a list of hosts from memory, for tests on one machine.",
		func(out *output) command { return &standinPlatformCommand{out: out} })
	register("standin backend", "Run a stand-in for a backend server",
		"Serves requests with a number of slots, a service time and a cold start, for tests on one machine.",
		func(out *output) command { return &standinBackendCommand{out: out} })
}

type standinPlatformCommand struct {
	out    *output
	Listen string        `long:"listen" description:"host:port to listen at" required:"true"`
	Hosts  []string      `long:"host" description:"NAME,ZONE,ADDRESS of a host to list; may be repeated"`
	Lag    time.Duration `long:"lag" description:"delay until the list of hosts shows a change"`
}

// Execute implements command.
func (c *standinPlatformCommand) Execute([]string) error {
	p := platform.New(platform.WithHostLag(c.Lag))
	for _, text := range c.Hosts {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return withExitCode(ExitUsage, errors.Errorf("host %q is not NAME,ZONE,ADDRESS", text))
		}
		p.SetHost(platform.Host{ID: parts[0], Zone: parts[1], Address: parts[2], State: "live"})
	}
	return serveStandin(c.out, c.Listen, p, nil)
}

type standinBackendCommand struct {
	out         *output
	Listen      string        `long:"listen" description:"host:port to listen at" required:"true"`
	Name        string        `long:"name" description:"name in responses" default:"backend"`
	Slots       int           `long:"slots" description:"maximum number of concurrent requests; more are shed" default:"8"`
	ServiceTime time.Duration `long:"takes" description:"service time of one request" default:"5ms"`
	ColdStart   time.Duration `long:"cold-start" description:"time after the start during which requests take longer"`
}

// Execute implements command.
func (c *standinBackendCommand) Execute([]string) error {
	b := backend.New(c.Name, backend.WithSlots(c.Slots), backend.WithServiceTime(c.ServiceTime), backend.WithColdStart(c.ColdStart))
	return serveStandin(c.out, c.Listen, b, b.ConnState)
}

// serveStandin serves HTTP at an address until SIGTERM or SIGINT.
func serveStandin(out *output, address string, handler http.Handler, state func(net.Conn, http.ConnState)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out.stdout, "listening at", l.Addr())
	s := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

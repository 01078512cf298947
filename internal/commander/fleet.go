package commander

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
)

const callTimeout = 3 * time.Second

// platformOptions are the options of commands that use the platform.
type platformOptions struct {
	Platform string `long:"platform" env:"MAGNOLIAHILL_PLATFORM" description:"base URL of the platform" required:"true"`
}

func (o *platformOptions) store() *keeper.Client { return keeper.New(o.Platform) }

// formOptions are the options of commands whose output programs read.
type formOptions struct {
	Output string `long:"output" description:"form of the output" choice:"plain" choice:"json" default:"plain"`
}

// write writes a value as JSON, or calls plain.
func (o *formOptions) write(out *output, value any, plain func() error) error {
	if o.Output == "json" {
		return json.NewEncoder(out.stdout).Encode(value)
	}
	return plain()
}

// fleetOptions are the options of commands that speak to all hosts.
type fleetOptions struct {
	Platform string   `long:"platform" env:"MAGNOLIAHILL_PLATFORM" description:"base URL of the platform, for the list of hosts"`
	Hosts    []string `long:"host" description:"control address of a host, in place of the platform's list; may be repeated"`
}

// hostAnswer is what one host answered.
type hostAnswer struct {
	Address string
	Zone    string // as the platform lists it; "" for addresses given by hand
	Err     error
	Status  *peerv1.StatusResponse
	Events  *peerv1.TimeLineResponse
}

// addresses returns the control addresses of all hosts with their zones.
func (o *fleetOptions) addresses(ctx context.Context) ([]hostAnswer, error) {
	var answers []hostAnswer
	for _, address := range o.Hosts {
		answers = append(answers, hostAnswer{Address: address})
	}
	if len(answers) > 0 {
		return answers, nil
	}
	listed, err := keeper.New(o.Platform).Hosts(ctx)
	if err != nil {
		return nil, err
	}
	for _, host := range listed {
		answers = append(answers, hostAnswer{Address: host.Address(), Zone: host.Zone()})
	}
	return answers, nil
}

// ask calls all hosts at once.
func (o *fleetOptions) ask(ctx context.Context, call func(context.Context, *messenger.Messenger, *hostAnswer) error) ([]hostAnswer, error) {
	answers, err := o.addresses(ctx)
	if err != nil {
		return nil, err
	}
	m := messenger.New()
	defer m.Close()
	var wait sync.WaitGroup
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answers[i].Err = call(ctx, m, &answers[i])
		}()
	}
	wait.Wait()
	return answers, nil
}

func askStatus(ctx context.Context, m *messenger.Messenger, a *hostAnswer) error {
	resp, err := m.Operator(a.Address).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return err
	}
	a.Status = resp.Msg
	a.Zone = resp.Msg.GetZone()
	return nil
}

func askEvents(ctx context.Context, m *messenger.Messenger, a *hostAnswer) error {
	resp, err := m.Operator(a.Address).TimeLine(ctx, connect.NewRequest(&peerv1.TimeLineRequest{}))
	if err != nil {
		return err
	}
	a.Events = resp.Msg
	return nil
}

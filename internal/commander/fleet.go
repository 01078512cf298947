package commander

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
)

const callTimeout = 3 * time.Second // for one call to one host

// platformOptions holds the options of commands that use the platform.
type platformOptions struct {
	Platform string `long:"platform" env:"MAGNOLIAHILL_PLATFORM" description:"base URL of the platform" required:"true"`
}

func (o *platformOptions) store() *storer.Client { return storer.New(o.Platform) }

// outputOptions holds the options of commands that can write JSON for programs.
type outputOptions struct {
	Output string `long:"output" description:"format of the output" choice:"plain" choice:"json" default:"plain"`
}

// write writes a value as JSON, or calls plain to write it as text.
func (o *outputOptions) write(out *output, value any, plain func() error) error {
	if o.Output == "json" {
		return json.NewEncoder(out.stdout).Encode(value)
	}
	return plain()
}

// fleetOptions holds the options of commands that call all hosts.
type fleetOptions struct {
	Platform string   `long:"platform" env:"MAGNOLIAHILL_PLATFORM" description:"base URL of the platform, for the list of hosts"`
	Hosts    []string `long:"host" description:"control address of a host, instead of the platform's list; may be repeated"`
}

// hostResponse holds the response of one host, or the error of the call.
type hostResponse struct {
	Address string
	Zone    string // from the platform's list or the host's status; otherwise empty
	Err     error
	Status  *peerv1.StatusResponse
	Events  *peerv1.TimeLineResponse
}

// hosts returns an empty response for each host, with its control address and
// its zone if known.
func (o *fleetOptions) hosts(ctx context.Context) ([]hostResponse, error) {
	var responses []hostResponse
	for _, address := range o.Hosts {
		responses = append(responses, hostResponse{Address: address})
	}
	if len(responses) > 0 {
		return responses, nil
	}
	listed, err := storer.New(o.Platform).Hosts(ctx)
	if err != nil {
		return nil, err
	}
	for _, host := range listed {
		responses = append(responses, hostResponse{Address: host.Address(), Zone: host.Zone()})
	}
	return responses, nil
}

// callAll runs call for all hosts concurrently and returns their responses. A
// failed call is not an error of callAll, but is stored in the response.
func (o *fleetOptions) callAll(ctx context.Context, call func(context.Context, *messenger.Messenger, *hostResponse) error) ([]hostResponse, error) {
	responses, err := o.hosts(ctx)
	if err != nil {
		return nil, err
	}
	m := messenger.New()
	defer m.Close()
	var wait sync.WaitGroup
	for i := range responses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			responses[i].Err = call(ctx, m, &responses[i])
		}()
	}
	wait.Wait()
	return responses, nil
}

// fetchStatus stores the status of a host in its response.
func fetchStatus(ctx context.Context, m *messenger.Messenger, r *hostResponse) error {
	resp, err := m.Operator(r.Address).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return err
	}
	r.Status = resp.Msg
	r.Zone = resp.Msg.GetZone()
	return nil
}

// fetchEvents stores the events of a host in its response.
func fetchEvents(ctx context.Context, m *messenger.Messenger, r *hostResponse) error {
	resp, err := m.Operator(r.Address).TimeLine(ctx, connect.NewRequest(&peerv1.TimeLineRequest{}))
	if err != nil {
		return err
	}
	r.Events = resp.Msg
	return nil
}

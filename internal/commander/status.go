package commander

import (
	"context"
	"fmt"
	"text/tabwriter"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

func init() {
	register("status", "Show the state of all hosts",
		"Shows the state, configuration, epoch and shares of limits of every host. Exits with 4 if a host detected the violation of an invariant.",
		func(out *output) command { return &statusCommand{out: out} })
}

type statusCommand struct {
	fleetOptions
	outputOptions
	out *output
}

// hostStatus is a host in the output.
type hostStatus struct {
	Host             string
	Zone             string
	State            string
	Generation       int64
	Epoch            int64
	Confirmed        bool
	StoreReachable   bool
	Seen             int // number of hosts that it has in its view, including itself
	BrokenInvariants int64
	Error            string `json:",omitempty"`
}

// limitStatus is a limit in the output, summed over all hosts.
type limitStatus struct {
	Name        string
	Rate, Burst float64 // the whole limit
	Held        float64 // share of the limit that the hosts hold; 1 is all of it
}

// fleetStatus is the output of the status command.
type fleetStatus struct {
	Hosts  []hostStatus
	Limits []limitStatus
}

// Execute implements command.
func (c *statusCommand) Execute([]string) error {
	responses, err := c.callAll(context.Background(), fetchStatus)
	if err != nil {
		return err
	}
	status := summarizeFleet(responses)
	if err := c.write(c.out, status, func() error { return c.writePlain(status) }); err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if h.BrokenInvariants > 0 {
			return withExitCode(ExitInvariant, fmt.Errorf("host %s detected %d invariant violations", h.Host, h.BrokenInvariants))
		}
	}
	return nil
}

// summarizeFleet combines the responses of all hosts.
func summarizeFleet(responses []hostResponse) fleetStatus {
	status := fleetStatus{Hosts: []hostStatus{}, Limits: []limitStatus{}}
	index := map[string]int{}
	for _, r := range responses {
		if r.Err != nil {
			status.Hosts = append(status.Hosts, hostStatus{Host: r.Address, Zone: r.Zone, Error: r.Err.Error()})
			continue
		}
		s := r.Status
		status.Hosts = append(status.Hosts, hostStatus{
			Host: s.GetId().GetName(), Zone: s.GetZone(), State: s.GetState(), Generation: s.GetGeneration(),
			Epoch: s.GetEpoch(), Confirmed: s.GetConfirmed(), StoreReachable: s.GetStoreReachable(),
			Seen: len(s.GetHosts()), BrokenInvariants: s.GetBrokenInvariants(),
		})
		for _, l := range s.GetLimits() {
			i, known := index[l.GetName()]
			if !known {
				i = len(status.Limits)
				index[l.GetName()] = i
				status.Limits = append(status.Limits, limitStatus{
					Name: l.GetName(), Rate: fromUnits(l.GetTotal().GetRate()), Burst: fromUnits(l.GetTotal().GetCapacity()),
				})
			}
			if total := l.GetTotal().GetCapacity(); total > 0 {
				status.Limits[i].Held += float64(l.GetHeld().GetCapacity()) / float64(total)
			}
		}
	}
	return status
}

// fromUnits converts an amount of a limit from the limiter's fixed-point units.
func fromUnits(n int64) float64 { return float64(n) / float64(limiter.Unit) }

func (c *statusCommand) writePlain(status fleetStatus) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "host\tzone\tstate\tgeneration\tepoch\tcounted\tstore\tsees\tbroken")
	for _, h := range status.Hosts {
		if h.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\tno answer: %s\n", h.Host, h.Zone, h.Error)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%t\t%t\t%d\t%d\n", h.Host, h.Zone, h.State,
			h.Generation, h.Epoch, h.Confirmed, h.StoreReachable, h.Seen, h.BrokenInvariants)
	}
	_, _ = fmt.Fprintln(t, "\nlimit\trate\tburst or units\theld")
	for _, l := range status.Limits {
		_, _ = fmt.Fprintf(t, "%s\t%g\t%g\t%.1f%%\n", l.Name, l.Rate, l.Burst, 100*l.Held)
	}
	return t.Flush()
}

package commander

import (
	"context"
	"fmt"
	"text/tabwriter"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

func init() {
	register("status", "Show what all hosts are doing",
		"Asks every host for its state, configuration, epoch and parts of limits. Exits with 4 when a host saw a broken invariant.",
		func(out *output) command { return &statusCommand{out: out} })
}

type statusCommand struct {
	fleetOptions
	formOptions
	out *output
}

// hostStatus is one host in the output.
type hostStatus struct {
	Host             string
	Zone             string
	State            string
	Generation       int64
	Epoch            int64
	Confirmed        bool
	StoreReachable   bool
	Seen             int // hosts that it sees, itself included
	BrokenInvariants int64
	Error            string `json:",omitempty"`
}

// limitStatus is one limit over all hosts in the output.
type limitStatus struct {
	Name        string
	Rate, Burst float64 // of all hosts together
	Held        float64 // part of it that the hosts hold now
}

type fleetStatus struct {
	Hosts  []hostStatus
	Limits []limitStatus
}

// Execute implements command.
func (c *statusCommand) Execute([]string) error {
	answers, err := c.ask(context.Background(), askStatus)
	if err != nil {
		return err
	}
	status := summarizeFleet(answers)
	if err := c.write(c.out, status, func() error { return c.plain(status) }); err != nil {
		return err
	}
	for _, h := range status.Hosts {
		if h.BrokenInvariants > 0 {
			return failed(ExitBroken, fmt.Errorf("host %s saw %d broken invariants", h.Host, h.BrokenInvariants))
		}
	}
	return nil
}

func summarizeFleet(answers []hostAnswer) fleetStatus {
	status := fleetStatus{Hosts: []hostStatus{}, Limits: []limitStatus{}}
	index := map[string]int{}
	for _, a := range answers {
		if a.Err != nil {
			status.Hosts = append(status.Hosts, hostStatus{Host: a.Address, Zone: a.Zone, Error: a.Err.Error()})
			continue
		}
		s := a.Status
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
					Name: l.GetName(), Rate: units(l.GetTotal().GetRate()), Burst: units(l.GetTotal().GetCapacity()),
				})
			}
			if total := l.GetTotal().GetCapacity(); total > 0 {
				status.Limits[i].Held += float64(l.GetHeld().GetCapacity()) / float64(total)
			}
		}
	}
	return status
}

func units(n int64) float64 { return float64(n) / float64(limiter.Unit) }

func (c *statusCommand) plain(status fleetStatus) error {
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

package commander

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

func init() {
	register("timeline", "Show the events of all hosts in order",
		"Merges the events of all hosts, ordered by hybrid logical time, so that a cause always comes before its effects.",
		func(out *output) command { return &timelineCommand{out: out} })
}

type timelineCommand struct {
	fleetOptions
	outputOptions
	out     *output
	Host    string `long:"on" description:"only events of this host"`
	Kind    string `long:"kind" description:"only events of this kind, such as key-withdrawn"`
	Subject string `long:"subject" description:"only events whose subject or text contains this"`
}

// listedEvent is an event in the output.
type listedEvent struct {
	Time    time.Time
	Logical uint32
	Host    string
	Kind    string
	Subject string
	Text    string
	stamp   timekeeper.Stamp
}

// Execute implements command.
func (c *timelineCommand) Execute([]string) error {
	responses, err := c.callAll(context.Background(), fetchEvents)
	if err != nil {
		return err
	}
	events := []listedEvent{}
	for _, r := range responses {
		if r.Err != nil {
			_, _ = fmt.Fprintf(c.out.stderr, "host %s does not respond: %v\n", r.Address, r.Err)
			continue
		}
		for _, e := range r.Events.GetEvents() {
			stamp := messenger.DecodeStamp(e.GetStamp())
			event := listedEvent{
				Time: time.Unix(0, stamp.Wall).UTC(), Logical: stamp.Logical, Host: e.GetHost(),
				Kind: e.GetKind(), Subject: e.GetSubject(), Text: e.GetText(), stamp: stamp,
			}
			if c.matches(event) {
				events = append(events, event)
			}
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].stamp.Before(events[j].stamp) })
	return c.write(c.out, events, func() error { return c.writePlain(events) })
}

// matches reports whether an event passes the filters of the command line.
func (c *timelineCommand) matches(e listedEvent) bool {
	return (c.Host == "" || e.Host == c.Host) &&
		(c.Kind == "" || e.Kind == c.Kind) &&
		(c.Subject == "" || strings.Contains(e.Subject+" "+e.Text, c.Subject))
}

func (c *timelineCommand) writePlain(events []listedEvent) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	for _, e := range events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.Time.Format("15:04:05.000000"), e.Host, e.Kind, e.Subject, e.Text)
	}
	return t.Flush()
}

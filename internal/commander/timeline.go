package commander

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/messenger"
)

func init() {
	register("timeline", "Show the events of all hosts in one line of time",
		"Merges the events of all hosts by hybrid logical time, in which an effect is never before its cause.",
		func(out *output) command { return &timelineCommand{out: out} })
}

type timelineCommand struct {
	fleetOptions
	formOptions
	out     *output
	On      string `long:"on" description:"only events of this host"`
	Kind    string `long:"kind" description:"only events of this kind, such as key-withdrawn"`
	Subject string `long:"subject" description:"only events whose subject or text holds this"`
}

// shownEvent is one event in the output.
type shownEvent struct {
	Time    time.Time
	Logical uint32
	Host    string
	Kind    string
	Subject string
	Text    string
	stamp   clocker.Stamp
}

// Execute implements command.
func (c *timelineCommand) Execute([]string) error {
	answers, err := c.ask(context.Background(), askEvents)
	if err != nil {
		return err
	}
	events := []shownEvent{}
	for _, a := range answers {
		if a.Err != nil {
			_, _ = fmt.Fprintf(c.out.stderr, "host %s does not answer: %v\n", a.Address, a.Err)
			continue
		}
		for _, e := range a.Events.GetEvents() {
			stamp := messenger.DecodeStamp(e.GetStamp())
			shown := shownEvent{
				Time: time.Unix(0, stamp.Wall).UTC(), Logical: stamp.Logical, Host: e.GetHost(),
				Kind: e.GetKind(), Subject: e.GetSubject(), Text: e.GetText(), stamp: stamp,
			}
			if c.wanted(shown) {
				events = append(events, shown)
			}
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].stamp.Before(events[j].stamp) })
	return c.write(c.out, events, func() error { return c.plain(events) })
}

func (c *timelineCommand) wanted(e shownEvent) bool {
	return (c.On == "" || e.Host == c.On) &&
		(c.Kind == "" || e.Kind == c.Kind) &&
		(c.Subject == "" || strings.Contains(e.Subject+" "+e.Text, c.Subject))
}

func (c *timelineCommand) plain(events []shownEvent) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	for _, e := range events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.Time.Format("15:04:05.000000"), e.Host, e.Kind, e.Subject, e.Text)
	}
	return t.Flush()
}

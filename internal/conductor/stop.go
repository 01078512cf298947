package conductor

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/carrier"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	stopMargin  = 300 * time.Millisecond // before the platform ends the process
	finishSpan  = 200 * time.Millisecond // at the end nothing new is taken, and what runs gets a final answer
	takesShare  = 0.45                   // part of the span in which all requests are taken: half of it is safe
	stopLook    = 50 * time.Millisecond
	stopLinger  = 500 * time.Millisecond // callers may be this late with a look-up answer
	closingSpan = 150 * time.Millisecond
)

// leaving starts a planned stop.
type leaving struct {
	phase carrier.Phase
	stop  carrier.Stop
}

func (m *leaving) apply(l *loop, now time.Duration) {
	l.phase = m.phase
	l.stop = m.stop
	l.tracker.SetState(tracker.Leaving)
	klog.InfoS("host stops", "phase", m.phase, "running", l.conductor.carrier.Running(), "left", m.stop.Ends-now)
	l.publish()
	l.greet(now)
}

// farewell tells the other hosts that this process holds nothing any more.
type farewell struct{ done chan struct{} }

func (m *farewell) apply(l *loop, now time.Duration) {
	l.tracker.SetState(tracker.Gone)
	letters := l.greeter.Letters(now)
	for i := range letters {
		letters[i].Full = true
	}
	l.post(now, letters)
	close(m.done)
}

// stop ends the host without cutting off a request: it goes out of the look-ups,
// serves callers that still come until their answers have run out, finishes what
// runs, and leaves.
func (c *Conductor) stop() {
	began := c.clock.Now()
	stop := carrier.Stop{
		Takes: began + time.Duration(takesShare*float64(c.settings.Grace)),
		Ends:  began + c.settings.Grace - stopMargin - finishSpan,
	}
	c.loop.send(&leaving{phase: carrier.Leaving, stop: stop})
	c.rest(stop.Ends, min(began+lookupTTL+stopLinger, stop.Ends))
	c.loop.send(&leaving{phase: carrier.Finishing, stop: stop})
	c.abort()
	c.rest(stop.Ends+finishSpan, 0)
	c.answerLast(stop.Ends + finishSpan)
	bye := &farewell{done: make(chan struct{})}
	c.loop.send(bye)
	<-bye.done
	ctx, cancel := context.WithTimeout(context.Background(), closingSpan)
	defer cancel()
	for _, server := range c.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // what still runs is past the platform's time
		}
	}
	_ = c.udp.Close()
	c.exchanger.Close()
	c.recorder.Close()
	klog.InfoS("host stopped", "host", c.settings.Host, "took", c.clock.Now()-began)
	klog.Flush()
}

// answerLast takes no new connections and waits until a time, or until nothing is
// to be expected on those that were opened: a process that is given little
// processor time may not have read yet what has come.
func (c *Conductor) answerLast(until time.Duration) {
	if err := c.data.Close(); err != nil {
		klog.InfoS("listener could not be closed", "cause", err.Error())
	}
	for c.clock.Now() < until && !c.arrivals.none() {
		time.Sleep(stopLook)
	}
}

// rest waits until a time, or until nothing runs after an earlier one.
func (c *Conductor) rest(until, quiet time.Duration) {
	for now := c.clock.Now(); now < until; now = c.clock.Now() {
		if now >= quiet && c.carrier.Running() == 0 {
			return
		}
		time.Sleep(stopLook)
	}
}

// reloadOn reads the settings again on each hang-up signal, and now and then
// without one.
func (c *Conductor) reloadOn(ctx context.Context, hangUps <-chan struct{}) {
	if c.reload == nil {
		return
	}
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			asked = true
		case <-ticker.C:
		}
		settings, err := c.reload()
		switch {
		case err != nil:
			klog.ErrorS(err, "settings not reloaded; the earlier ones stay in force")
		case settings != nil:
			c.loop.send(&settingsRead{settings})
		case asked:
			klog.InfoS("settings unchanged")
		}
	}
}

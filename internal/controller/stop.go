package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	stopMargin       = 300 * time.Millisecond // left before the platform kills the process
	finishPeriod     = 200 * time.Millisecond // at the end: new requests are refused, running ones get a final response
	acceptAllShare   = 0.45                   // of the grace period, in which requests are accepted that may outlast it; up to half is safe
	stopPollInterval = 50 * time.Millisecond
	lateCallerMargin = 500 * time.Millisecond // callers may use a look-up answer this long after it expired
	shutdownTimeout  = 150 * time.Millisecond
)

// phaseChange sets the phase of a planned stop.
type phaseChange struct {
	phase dispatcher.Phase
	stop  dispatcher.StopSchedule
}

func (m *phaseChange) apply(l *loop, now time.Duration) {
	l.phase = m.phase
	l.stopTimes = m.stop
	l.tracker.SetState(tracker.Leaving)
	klog.InfoS("host stopping", "phase", m.phase, "running", l.controller.dispatcher.InFlight(), "left", m.stop.CompleteBy-now)
	l.publishSnapshot()
	l.sendGossip(now)
}

// goneNotice announces to the other hosts that this process has stopped. It closes
// done when the messages are sent.
type goneNotice struct{ done chan struct{} }

func (m *goneNotice) apply(l *loop, now time.Duration) {
	l.tracker.SetState(tracker.Gone)
	recipients := l.gossiper.Recipients(now)
	for i := range recipients {
		recipients[i].FullZones = []string{l.controller.settings.Zone}
	}
	clear(l.shared)
	l.sendMessages(now, recipients)
	close(m.done)
}

// stop shuts the host down gracefully. It removes the host from look-up answers,
// serves callers until their look-up answers expire, lets running requests
// finish, and closes all listeners.
func (c *Controller) stop() {
	began := c.clock.Now()
	stop := newStopSchedule(began, c.settings.StopTimeout)
	c.loop.send(&phaseChange{phase: dispatcher.Leaving, stop: stop})
	c.waitForRequests(stop.CompleteBy, min(began+lookupTTL+lateCallerMargin, stop.CompleteBy))
	c.loop.send(&phaseChange{phase: dispatcher.Finishing, stop: stop})
	c.cancelRequests()
	c.waitForRequests(stop.CompleteBy+finishPeriod, 0)
	c.drainConns(stop.CompleteBy + finishPeriod)
	notice := &goneNotice{done: make(chan struct{})}
	c.loop.send(notice)
	<-notice.done
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range c.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // the grace period of the platform is over
		}
	}
	c.charger.Close()
	_ = c.udp.Close()
	c.roundTripper.Close()
	c.recorder.Close()
	klog.InfoS("host stopped", "host", c.settings.Host, "took", c.clock.Now()-began)
	klog.Flush()
}

// newStopSchedule returns the times of a stop that begins now. However long the grace
// period is, callers that comply use another host once their look-up answers expire.
func newStopSchedule(now, grace time.Duration) dispatcher.StopSchedule {
	return dispatcher.StopSchedule{
		AcceptUntil: now + min(time.Duration(acceptAllShare*float64(grace)), lookupTTL),
		CompleteBy:  now + grace - stopMargin - finishPeriod,
	}
}

// drainConns accepts no new connections and waits until the given time, or until
// no open connection may hold a request without a response. A process that is
// short of CPU time may not have read a request that has already arrived.
func (c *Controller) drainConns(until time.Duration) {
	if err := c.dataListener.Close(); err != nil {
		klog.InfoS("closing data listener failed", "cause", err.Error())
	}
	for c.clock.Now() < until && !c.pendingConns.isEmpty() {
		time.Sleep(stopPollInterval)
	}
}

// waitForRequests waits until the given time. From idleFrom on it returns as soon
// as no request runs.
func (c *Controller) waitForRequests(until, idleFrom time.Duration) {
	for now := c.clock.Now(); now < until; now = c.clock.Now() {
		if now >= idleFrom && c.dispatcher.InFlight() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// reloadSettings reads the settings on each reload signal and every reloadInterval,
// and sends changed ones to the loop.
func (c *Controller) reloadSettings(ctx context.Context, reloadSignals <-chan struct{}) {
	if c.reload == nil {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			signaled = true
		case <-ticker.C:
		}
		settings, err := c.reload()
		switch {
		case err != nil:
			klog.ErrorS(err, "reloading settings failed; keeping the current ones")
		case settings != nil:
			c.loop.send(&settingsChange{settings})
		case signaled:
			klog.InfoS("settings unchanged")
		}
	}
}

package target

import (
	"net"
	"time"
)

// crashing is how and when a target crashes.
type crashing struct {
	fatalPath string        // requests for it crash the target; "" if none do
	downtime  time.Duration // after a crash
	onRestart func(*Responder)
	crashes   []time.Time
}

// WithFatalPath makes requests for a path crash the target: it refuses connections for
// the downtime, listens at the same address again, and calls onRestart.
func WithFatalPath(path string, downtime time.Duration, onRestart func(*Responder)) Option {
	return func(t *Responder) { t.crashing = crashing{fatalPath: path, downtime: downtime, onRestart: onRestart} }
}

// Crashes returns the times at which the target crashed.
func (t *Responder) Crashes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.crashing.crashes...)
}

// Repair makes the target survive requests for the fatal path.
func (t *Responder) Repair() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashing.fatalPath = ""
}

// crash ends the target if the path is fatal, and starts it again after its downtime.
func (t *Responder) crash(path string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashing.fatalPath == "" || path != t.crashing.fatalPath {
		return false
	}
	t.crashing.crashes = append(t.crashing.crashes, time.Now())
	t.closeAll()
	time.AfterFunc(t.crashing.downtime, t.restart)
	return true
}

func (t *Responder) restart() {
	t.mu.Lock()
	address := t.listener.Addr().String()
	listener, err := net.Listen("tcp", address)
	if t.closed || err != nil {
		t.mu.Unlock()
		return
	}
	t.listener = listener
	t.mu.Unlock()
	go t.accept(listener)
	t.crashing.onRestart(t)
}

// Package logger writes log lines without ever holding up who writes them: lines
// wait in a bounded buffer, and those that find no room are counted.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxBuffered = 256 << 10              // bytes that wait to be written
	flushEvery  = 200 * time.Millisecond // lines are written together, for fewer system calls
	maxLines    = 400                    // lines a second; at 40 requests a second a host has ten for each
	maxBurst    = 2000                   // lines at once
)

// Writer is a bounded buffer before an output.
type Writer struct {
	out     io.Writer
	prefix  string // before each line
	lines   *rate.Limiter
	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int  // lines since the last flush
	pending bool // a flush is due
	writing sync.Mutex
}

// New returns a writer to an output that begins each line with the name of the
// host, so that lines of several hosts can be joined.
func New(out io.Writer, host string) *Writer {
	return &Writer{out: out, prefix: host + " ", lines: rate.NewLimiter(maxLines, maxBurst)}
}

// Write takes one line. It never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(w.prefix)+len(line) > maxBuffered || !w.lines.Allow() {
		w.dropped++
	} else {
		w.buffer.WriteString(w.prefix)
		w.buffer.Write(line)
	}
	if !w.pending {
		w.pending = true
		time.AfterFunc(flushEvery, w.Flush)
	}
	return len(line), nil
}

// Flush writes what waits.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	waiting := append([]byte(nil), w.buffer.Bytes()...)
	w.buffer.Reset()
	if w.dropped > 0 {
		waiting = fmt.Appendf(waiting, "%s\"log lines dropped\" count=%d\n", w.prefix, w.dropped)
		w.dropped = 0
	}
	w.pending = false
	w.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	// Nothing is left to tell when the output itself fails.
	_, _ = w.out.Write(waiting)
}

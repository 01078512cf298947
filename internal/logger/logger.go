// Package logger writes log lines without blocking the caller. Lines are held in a
// bounded buffer, and lines over its size or over the rate limit are dropped and
// counted.
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
	maxBufferedBytes  = 256 << 10              // waiting to be written
	flushInterval     = 200 * time.Millisecond // lines are written in batches, for fewer system calls
	maxLinesPerSecond = 400                    // ten lines per request at 40 requests per second on a host
	maxLineBurst      = 2000                   // lines that may exceed the rate at once
	maxLineBytes      = 8 << 10                // a line may name what other writers chose
)

// Writer buffers log lines for an output.
type Writer struct {
	out          io.Writer
	prefix       string // written before each line
	limiter      *rate.Limiter
	mu           sync.Mutex
	buffer       bytes.Buffer
	dropped      int        // lines since the last flush
	flushPending bool       // a flush is scheduled
	outMu        sync.Mutex // held while writing to out; locked before mu
}

// New returns a writer that starts each line with the name of the host, so that
// the logs of several hosts can be merged.
func New(out io.Writer, host string) *Writer {
	return &Writer{out: out, prefix: host + " ", limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst)}
}

// Write buffers one line, or drops and counts it. The end of a long line is left out. It
// never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	written := len(line)
	if len(line) > maxLineBytes {
		line = append(bytes.Clone(line[:maxLineBytes]), "...\n"...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(w.prefix)+len(line) > maxBufferedBytes || !w.limiter.Allow() {
		w.dropped++
	} else {
		w.buffer.WriteString(w.prefix)
		w.buffer.Write(line)
	}
	if !w.flushPending {
		w.flushPending = true
		time.AfterFunc(flushInterval, w.Flush)
	}
	return written, nil
}

// Flush writes the buffered lines, and the number of dropped lines if there are
// any.
func (w *Writer) Flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	pending := append([]byte(nil), w.buffer.Bytes()...)
	w.buffer.Reset()
	if w.dropped > 0 {
		pending = fmt.Appendf(pending, "%s\"log lines dropped\" count=%d\n", w.prefix, w.dropped)
		w.dropped = 0
	}
	w.flushPending = false
	w.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	// An error of the output is ignored because it could not be logged either.
	_, _ = w.out.Write(pending)
}

package logger_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/logger"
)

// lockedOutput is an output that blocks writes while mu is locked.
type lockedOutput struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *lockedOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *lockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestLinesStartWithHostName(t *testing.T) {
	is := is.New(t)
	out := &lockedOutput{}
	w := logger.New(out, "h1")
	_, err := w.Write([]byte("one\n"))
	is.NoErr(err)
	w.Flush()
	is.Equal(out.String(), "h1 one\n")
}

// An output that blocks must not delay the caller of Write. Lines over the limits
// are dropped, and their number is logged.
func TestWriteDoesNotBlockAndCountsDroppedLines(t *testing.T) {
	is := is.New(t)
	out := &lockedOutput{}
	w := logger.New(out, "h1")
	out.mu.Lock() // blocks the output
	const lines = 10_000
	for i := range lines {
		n, err := w.Write(fmt.Appendf(nil, "line %d\n", i))
		is.NoErr(err)
		is.True(n > 0)
	}
	out.mu.Unlock()
	w.Flush()
	text := out.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(strings.Count(text, "\n") < lines)
}

func TestLongLinesAreCut(t *testing.T) {
	is := is.New(t)
	out := &lockedOutput{}
	w := logger.New(out, "h1")
	n, err := w.Write([]byte(strings.Repeat("x", 100_000) + "\n"))
	is.NoErr(err)
	is.Equal(n, 100_001)
	_, _ = w.Write([]byte("next\n"))
	w.Flush()
	is.True(len(out.String()) < 10_000)
	is.True(strings.HasSuffix(out.String(), "x...\nh1 next\n"))
}

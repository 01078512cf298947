package logger_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/logger"
)

// sink is an output that can be held up.
type sink struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesBearTheHost(t *testing.T) {
	is := is.New(t)
	out := &sink{}
	w := logger.New(out, "h1")
	_, err := w.Write([]byte("one\n"))
	is.NoErr(err)
	w.Flush()
	is.Equal(out.String(), "h1 one\n")
}

// A log that nobody reads holds up no request, and says what it dropped.
func TestWriterNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	out := &sink{}
	w := logger.New(out, "h1")
	out.mu.Lock() // nobody reads
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

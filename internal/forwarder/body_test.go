package forwarder_test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

// pausedSource is a source of a body, of which each read tells that it has begun and
// returns as many bytes as it is told.
type pausedSource struct {
	text  io.Reader
	begun chan struct{}
	sizes chan int // closed when reads no longer pause
}

func newPausedSource(text string) *pausedSource {
	return &pausedSource{text: strings.NewReader(text), begun: make(chan struct{}), sizes: make(chan int)}
}

func (s *pausedSource) Read(p []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	case <-s.sizes:
		return s.text.Read(p)
	}
	if size, ok := <-s.sizes; ok {
		return io.ReadFull(s.text, p[:min(size, len(p))])
	}
	return s.text.Read(p)
}

// numbered returns a body in which every line has another number.
func numbered(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "line %06d\n", i)
	}
	return b.String()[:size]
}

// bodyCase is one case of the data file.
type bodyCase struct {
	Name                 string
	Size, Taken, Pending int
	Whole                bool
}

// pendingReader returns a body of which a reader has taken the beginning, the result of
// that reader's next read, which is under way, and the source.
func (c bodyCase) pendingReader(is *is.I, text string) (*forwarder.Body, chan error, *pausedSource) {
	source := newPausedSource(text)
	body := forwarder.NewBody(source)
	reader := body.Open()
	buffer := make([]byte, 16<<10)
	done := make(chan error, 1)
	for taken := 0; taken < c.Taken; {
		n := min(c.Taken-taken, len(buffer))
		go func() {
			_, err := io.ReadFull(reader, buffer[:n])
			done <- err
		}()
		<-source.begun
		source.sizes <- n
		is.NoErr(<-done)
		taken += n
	}
	go func() {
		_, err := reader.Read(buffer)
		done <- err
	}()
	<-source.begun
	return body, done, source
}

// Guards against uploads that run with a part missing: the sender of a failed attempt
// read on beyond the buffer while the next attempt sent the same body.
func TestNextReaderGetsTheBodyWithoutAGap(t *testing.T) {
	data, err := os.ReadFile("testdata/bodies.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []bodyCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			text := numbered(c.Size)
			body, pending, source := c.pendingReader(is, text)
			is.Equal(body.Rewind(), c.Whole)
			next := body.Open()
			source.sizes <- c.Pending
			is.True(<-pending != nil) // the earlier reader gets no bytes that the next one lacks
			close(source.sizes)
			got, err := io.ReadAll(next)
			is.True(strings.HasPrefix(text, string(got)))
			is.Equal(err == nil, c.Whole)
			is.Equal(string(got) == text, c.Whole)
		})
	}
}

// Guards against a target that gets other bytes where the rest of a body is due: the
// host discards what the caller still sends, beside the sender of an answered attempt.
func TestSenderGetsNothingBehindDiscardedBytes(t *testing.T) {
	is := is.New(t)
	body := forwarder.NewBody(strings.NewReader(numbered(200000)))
	sender := body.Open()
	_, err := io.ReadFull(sender, make([]byte, 80000))
	is.NoErr(err)
	body.Discard()
	is.True(body.Complete())
	rest, err := io.ReadAll(sender)
	is.True(err != nil) // io.EOF would end the sent body as complete
	is.Equal(len(rest), 0)
}

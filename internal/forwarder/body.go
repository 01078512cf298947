package forwarder

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxBuffered is the number of bytes of a request body that are buffered for
// another attempt.
const MaxBuffered = 64 << 10

const (
	readAheadSize = 4 << 10                     // bytes per read
	prefixSize    = MaxBuffered - readAheadSize // bytes that Prefetch reads of every longer body
)

// errReplaced is returned to a reader of a body after another one has taken its place.
var errReplaced = errors.New("request body has another reader")

// errNotBuffered is returned to a reader that would continue behind bytes that an
// earlier one was given and that are not buffered.
var errNotBuffered = errors.New("part of the request body was sent before and is not buffered")

// Body is a request body that can be sent again until more bytes have been read
// from it than its buffer holds. It has one reader at a time: a new reader takes the
// place of the earlier one, which gets errors from then on. The bytes that a reader
// gets follow one another without a gap. It is safe for concurrent use.
type Body struct {
	reading    sync.Mutex // held during a read of the source; locked before mu
	mu         sync.Mutex // not held during a read of the source, which may take as long as the caller likes
	source     io.Reader
	reader     *bodyReader // the only one that gets bytes; nil if there is none
	buffered   []byte      // bytes read so far, from the start of the body; complete unless overflow is set
	position   int         // bytes read from the source; not less than len(buffered)
	overflow   bool        // more bytes were read than are buffered
	readErr    error       // error of the last read from the source, including io.EOF
	onComplete func()      // called when the source returns io.EOF
	complete   atomic.Bool // the source has returned io.EOF
}

// Complete reports whether the whole body was read from the source. It does not wait
// for a read that is under way.
func (b *Body) Complete() bool { return b.complete.Load() }

// Discard takes the body from its reader and reads the rest from the source. It
// returns at the end of the body or at a read error.
func (b *Body) Discard() {
	b.replaceReader(nil)
	b.reading.Lock()
	defer b.reading.Unlock()
	buffer := make([]byte, readAheadSize)
	for b.sourceErr() == nil {
		n, err := b.source.Read(buffer)
		b.record(nil, buffer[:n], err)
	}
}

func (b *Body) sourceErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// OnComplete sets a function that is called once the whole body was read, before
// the reader of the body receives io.EOF. If the body has already been read, the
// function is called at once.
func (b *Body) OnComplete(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onComplete = f
	if b.readErr == io.EOF {
		f()
	}
}

// NewBody returns a body that reads from the source.
func NewBody(source io.Reader) *Body { return &Body{source: source} }

// Rewind takes the body from its reader and reports whether the next reader gets it
// from the start to the end. An attempt may still be sending the body when its result
// is known; without Rewind it could read on beyond the buffer until the next attempt.
func (b *Body) Rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
	return !b.overflow
}

// Prefetch reads ahead until the body ends or the buffer is full, and reports
// whether the whole body is buffered. It returns read errors of the source,
// except io.EOF.
func (b *Body) Prefetch() (bool, error) {
	reader := b.Open()
	buffer := make([]byte, readAheadSize)
	for b.canPrefetch() {
		_, err := reader.Read(buffer)
		if err == io.EOF {
			break
		}
		if err != nil {
			return false, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr == io.EOF && !b.overflow, nil
}

func (b *Body) canPrefetch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr == nil && !b.overflow && len(b.buffered)+readAheadSize <= MaxBuffered
}

// Buffered returns the buffered bytes, from the start of the body.
func (b *Body) Buffered() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered
}

// Prefix returns the beginning of the body after Prefetch, and whether it is the whole
// body. It does not depend on how the body arrived.
func (b *Body) Prefix() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffered) > prefixSize {
		return b.buffered[:prefixSize], false
	}
	return b.buffered, true
}

// Open returns a reader of the body from its start, for one attempt. It takes the
// place of the reader of the previous attempt.
func (b *Body) Open() io.ReadCloser {
	r := &bodyReader{body: b}
	b.replaceReader(r)
	return r
}

func (b *Body) replaceReader(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = r
}

// readAt reads buffered bytes at the offset of a reader, or the next bytes of the
// source when the offset is at the end of the buffer.
func (b *Body) readAt(r *bodyReader, p []byte, offset int) (int, error) {
	if n, ok, err := b.readBuffered(r, p, offset); ok {
		return n, err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	if n, ok, err := b.readBuffered(r, p, offset); ok {
		return n, err // another reader has read on
	}
	n, err := b.source.Read(p)
	if !b.record(r, p[:n], err) {
		return 0, errReplaced
	}
	return n, err
}

// record records the result of a read of the source, and reports whether the reader,
// nil for Discard, still has the body. The bytes that were read for a replaced reader
// are buffered beyond the limit, since the next reader has not been given them.
func (b *Body) record(r *bodyReader, p []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position += len(p)
	b.readErr = err
	if err == io.EOF {
		b.complete.Store(true)
		if b.onComplete != nil {
			b.onComplete()
		}
	}
	given := b.reader == r
	if b.overflow || given && len(b.buffered)+len(p) > MaxBuffered {
		b.overflow = b.overflow || len(p) > 0
		return given
	}
	b.buffered = append(b.buffered, p...)
	return given
}

// readBuffered reads buffered bytes at the offset, and returns false if the source has
// to be read.
func (b *Body) readBuffered(r *bodyReader, p []byte, offset int) (int, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.reader != r:
		return 0, true, errReplaced
	case offset < len(b.buffered):
		return copy(p, b.buffered[offset:]), true, nil
	case offset != b.position:
		return 0, true, errNotBuffered
	}
	return 0, b.readErr != nil, b.readErr
}

// bodyReader reads a body for one attempt. Closing it does not close the source.
type bodyReader struct {
	body   *Body
	mu     sync.Mutex
	offset int
	closed bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := r.body.readAt(r, p, r.offset)
	r.offset += n
	return n, err
}

// Close implements io.Closer. It waits for a concurrent Read to return.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return nil
}

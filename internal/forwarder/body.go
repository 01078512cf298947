package forwarder

import (
	"io"
	"sync"
)

const (
	maxReplay = 64 << 10 // bytes of a request body kept for another try
	fillStep  = 4 << 10  // bytes read ahead at once
)

// Body is a request body that can be sent again as long as no more than
// maxReplay bytes were read from it.
type Body struct {
	mu       sync.Mutex
	source   io.Reader
	kept     []byte // what was read, from the start of the body
	overflow bool   // more was read than is kept
	ended    error  // error that the source ended with, io.EOF included
	onEnd    func() // called once the whole body was read
}

// OnEnd sets what is called once the whole body was read, before the reader of
// the body learns of its end.
func (b *Body) OnEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onEnd = f
	if b.ended == io.EOF {
		f()
	}
}

// NewBody returns a body over what the caller sends.
func NewBody(source io.Reader) *Body { return &Body{source: source} }

// Replayable reports whether the body can be sent from its start again.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow
}

// Fill reads ahead until the body ends or no more can be kept, and reports
// whether the whole body is kept. The error is the source's, io.EOF excepted.
func (b *Body) Fill() (bool, error) {
	reader := b.Open()
	buffer := make([]byte, fillStep)
	for b.filling() {
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
	return b.ended == io.EOF && !b.overflow, nil
}

func (b *Body) filling() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended == nil && !b.overflow && len(b.kept)+fillStep <= maxReplay
}

// Kept returns the bytes read so far, from the start of the body.
func (b *Body) Kept() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept
}

// Open returns the body from its start, for one try. A try must have ended
// before the next one is opened.
func (b *Body) Open() io.ReadCloser { return &attempt{body: b} }

func (b *Body) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.kept) {
		return copy(p, b.kept[offset:]), nil
	}
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.source.Read(p)
	b.ended = err
	if err == io.EOF && b.onEnd != nil {
		b.onEnd()
	}
	if b.overflow || len(b.kept)+n > maxReplay {
		b.overflow = true
		return n, err
	}
	b.kept = append(b.kept, p[:n]...)
	return n, err
}

// attempt reads a body for one try. Closing it does not close the source.
type attempt struct {
	body   *Body
	mu     sync.Mutex
	offset int
	closed bool
}

// Read implements io.Reader.
func (a *attempt) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := a.body.readAt(p, a.offset)
	a.offset += n
	return n, err
}

// Close implements io.Closer. It waits for a running Read.
func (a *attempt) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return nil
}

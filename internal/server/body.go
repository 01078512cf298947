package server

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const bufferSize = 32 << 10 // bytes

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferSize)
	return &buffer
}}

// pacedBody ends the connection of a caller that pauses too long in its body.
type pacedBody struct {
	source  io.Reader
	control *http.ResponseController
	pause   time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.pause))
	n, err := b.source.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

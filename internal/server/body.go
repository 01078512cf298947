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

// timeoutBody is a request body whose reads fail when the caller pauses for
// longer than the timeout.
type timeoutBody struct {
	source     io.Reader
	controller *http.ResponseController
	timeout    time.Duration
}

// Read implements io.Reader.
func (b *timeoutBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.source.Read(p)
	if err != nil {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

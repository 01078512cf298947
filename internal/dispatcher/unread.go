package dispatcher

import (
	"net/http"
	"time"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

const (
	// unreadBodyTimeout is how long the host reads on after a response to a request whose
	// body it has not read. Closing a connection with unread bytes resets it, which may
	// destroy the response.
	unreadBodyTimeout = 250 * time.Millisecond
	// shortBodyTimeout is the same for short bodies. A lost packet of theirs arrives within
	// it, so that the caller can use the connection again.
	shortBodyTimeout = time.Second
)

// expectUnread prepares a response that does not wait for the rest of the request's
// body. It is called before the head of the response is written.
func (c *call) expectUnread() {
	if c.r.ContentLength == 0 || c.body != nil && c.body.Complete() {
		return
	}
	c.unread = true
	headers := c.w.Header()
	controller := http.NewResponseController(c.w)
	if controller.EnableFullDuplex() != nil || controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) != nil || headers.Get("Content-Length") == "" {
		headers.Set("Connection", "close") // the end of a response without a length is written after the handler
	}
}

// discardUnread sends the response and reads the rest of the body until the read
// deadline. If the rest does not arrive, the connection has to be aborted: the server
// would take the rest for the caller's next request.
func (c *call) discardUnread() {
	if !c.unread {
		return
	}
	timeout := unreadBodyTimeout
	if c.r.ContentLength > 0 && c.r.ContentLength <= forwarder.MaxBuffered {
		timeout = shortBodyTimeout
	}
	controller := http.NewResponseController(c.w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return // the caller closed the connection
	}
	if c.body == nil {
		c.body = forwarder.NewBody(c.r.Body)
	}
	c.body.Discard()
	c.aborts = !c.body.Complete() && c.w.Header().Get("Connection") == ""
}

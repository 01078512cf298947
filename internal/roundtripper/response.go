package roundtripper

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/verifier"
)

// ShedError is a forwarder.ErrShed with the status and headers of the backend server's
// response.
type ShedError struct {
	status int
	header http.Header
}

// Error implements error.
func (e *ShedError) Error() string { return forwarder.ErrShed.Error() }

// Is makes errors.Is match forwarder.ErrShed.
func (e *ShedError) Is(target error) bool { return target == forwarder.ErrShed }

// Status returns the status of the response.
func (e *ShedError) Status() int { return e.status }

// Header returns the headers of the response.
func (e *ShedError) Header() http.Header { return e.header }

// drain discards the body of a response if it has arrived completely, so that the
// connection can be reused. Otherwise it closes the connection: the request may
// go to another backend server, and the body may never end.
func (x *exchange) drain(resp *http.Response) {
	arrived := resp.ContentLength >= 0 && resp.ContentLength <= int64(x.conn.reader.Buffered())
	if arrived {
		_, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength)
		arrived = err == nil
	}
	resp.Close = resp.Close || !arrived
	x.release(resp)
}

// release returns the connection to the pool, or closes it if it cannot be
// reused.
func (x *exchange) release(resp *http.Response) {
	x.released = true
	if !x.reusable(resp) {
		_ = x.conn.Close()
		return
	}
	x.conn.resetBuffer()
	x.conn.maxIdle = maxIdleTime(resp.Header)
	x.roundTripper.pool.put(x.conn, x.roundTripper.clock.Now())
}

// reusable reports whether the connection can be used for another request: the
// request body was sent completely, the context was not canceled, and no more
// bytes of this response can arrive.
func (x *exchange) reusable(resp *http.Response) bool {
	if x.sendResult != nil {
		select {
		case err := <-x.sendResult:
			if err != nil {
				return false
			}
		default:
			return false // the backend server responded before the whole body was sent
		}
	}
	return x.stopCancel() && !resp.Close && !endsWithConnection(resp) && x.conn.reader.Buffered() == 0 && len(x.conn.refused) < maxRefused
}

// endsWithConnection reports whether the body of a response ends with its connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkEnd checks at the end of a body that it is whole and its trailers are valid. The end
// of a connection proves that unless the connection was reset, of which the sender of a long
// request body may be told instead of the reader. Where the system does not tell how the
// connection ended, the response is whole only if that body was sent without an error.
func (x *exchange) checkEnd(resp *http.Response) error {
	if err := verifier.CheckFields(resp.Trailer); err != nil {
		return err
	}
	if !endsWithConnection(resp) || x.sendResult == nil || verifier.EndOf(x.conn.Conn) == verifier.EndOrderly {
		return nil
	}
	select {
	case err := <-x.sendResult:
		return errors.Wrap(err, "sending the request body")
	case <-x.ctx.Done():
		return x.ctx.Err()
	}
}

// maxIdleTime returns how long a connection may stay idle: a share of the timeout
// in the Keep-Alive header, or a default when there is none.
func maxIdleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(float64(n) * statedIdleShare * float64(time.Second))
		}
	}
	return defaultMaxIdle
}

// readBody reads the response body. It reads only the beginning of a long body, or of one
// for which there is no memory, and leaves the remainder in Rest.
func (x *exchange) readBody(resp *http.Response) (*Response, error) {
	body, whole, err := x.readBeginning(resp)
	if err != nil {
		return nil, errors.Wrap(ErrBadResponse, err.Error())
	}
	result := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Length: resp.ContentLength}
	if !whole {
		if !x.signed(resp) {
			return nil, errors.Wrap(ErrBadResponse, "long body without a signature")
		}
		result.Rest = &restReader{exchange: x, resp: resp}
		return result, nil
	}
	result.Length = int64(len(body))
	x.release(resp)
	return result, nil
}

// readBeginning reads the body until it ends, is too long to be buffered, or no memory can
// be reserved for more. It reports whether it read the whole body.
func (x *exchange) readBeginning(resp *http.Response) (body []byte, whole bool, err error) {
	size := int(min(max(resp.ContentLength, 0), maxInitialBuffer)) + bytes.MinRead
	refused := size > minBuffer && !x.req.reserve(size)
	if refused {
		size = minBuffer
	}
	x.growBuffer(size)
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, x.checkEnd(resp)
		}
		switch {
		case err != nil:
			return nil, false, err
		case len(body) < cap(body):
			continue
		}
		// The smaller buffer is in use until its bytes are copied, and counts until the end.
		size = min(2*cap(body), maxBufferedBody+1)
		if refused || len(body) > maxBufferedBody || !x.req.reserve(size) {
			return body, false, nil
		}
		x.growBuffer(size)
		body = append(make([]byte, 0, size), body...)
	}
}

// growBuffer makes the connection's receive buffer larger for a body of at least about a
// size, if there is memory.
func (x *exchange) growBuffer(size int) {
	if size > receiveBuffer && !x.conn.grown && (x.req.ReserveBuffer == nil || x.req.ReserveBuffer(longReceiveCost)) {
		x.conn.growBuffer()
	}
}

// restReader reads the remainder of a long response body while it is forwarded.
type restReader struct {
	exchange *exchange
	resp     *http.Response
	complete bool // the body was read up to io.EOF
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF && !r.complete {
		if endErr := r.exchange.checkEnd(r.resp); endErr != nil {
			return n, endErr
		}
		r.complete = true
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if the body was not read
// completely.
func (r *restReader) Close() error {
	if !r.complete {
		r.exchange.stopCancel()
		return r.exchange.conn.Close()
	}
	r.exchange.release(r.resp)
	return nil
}

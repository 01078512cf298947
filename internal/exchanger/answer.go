package exchanger

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

// ShedError is a forwarder.ErrShed with what the backend server said of its
// load.
type ShedError struct {
	load string
}

// Error implements error.
func (e *ShedError) Error() string { return forwarder.ErrShed.Error() }

// Is reports whether another error is the plain form of this one.
func (e *ShedError) Is(target error) bool { return target == forwarder.ErrShed }

// Load returns the load header of the refusal, or "".
func (e *ShedError) Load() string { return e.load }

// finish reads a short answer to its end, so that the connection can go on, or
// closes it.
func (x *exchange) finish(resp *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered))
	if err != nil || n == maxBuffered {
		resp.Close = true
	}
	x.release(resp)
}

// release gives the connection back, unless something may still come over it.
func (x *exchange) release(resp *http.Response) {
	if !x.reusable(resp) {
		_ = x.link.Close()
		return
	}
	x.link.allowed = allowedIdle(resp.Header)
	x.exchanger.pool.put(x.link, time.Now())
}

func (x *exchange) reusable(resp *http.Response) bool {
	if x.sent != nil {
		select {
		case err := <-x.sent:
			if err != nil {
				return false
			}
		default:
			return false // the backend server answered before it had the body
		}
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return x.stop() && !resp.Close && !unframed && x.link.reader.Buffered() == 0
}

// allowedIdle returns how long a connection may stay idle, by what the backend
// server states.
func allowedIdle(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(float64(n) * keepShare * float64(time.Second))
		}
	}
	return idleAllowed
}

// answer reads the body, the whole of it unless it is long.
func (x *exchange) answer(resp *http.Response) (*Answer, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), firstGrow)))
	n, err := io.Copy(&body, io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes(), Length: resp.ContentLength}
	if n > maxBuffered {
		a.Rest = &rest{exchange: x, resp: resp}
		return a, nil
	}
	a.Length = n
	x.release(resp)
	return a, nil
}

// rest is the part of a long answer that is read while it is passed on.
type rest struct {
	exchange *exchange
	resp     *http.Response
	ended    bool // read to its proper end
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	r.ended = r.ended || err == io.EOF
	return n, err
}

// Close gives the connection back, or ends it when the answer was not read to
// its end.
func (r *rest) Close() error {
	if !r.ended {
		r.exchange.stop()
		return r.exchange.link.Close()
	}
	r.exchange.release(r.resp)
	return nil
}

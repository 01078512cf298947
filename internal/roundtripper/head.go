package roundtripper

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/verifier"
)

// readHead reads the head of the response to this request. It skips interim
// responses and complete responses to other requests.
func (x *exchange) readHead() (*http.Response, error) {
	methodOnly := &http.Request{Method: x.req.Method}
	mismatched := 0
	x.conn.limiter.received = 0
	x.conn.limiter.left = maxHeadBytes
	defer func() { x.conn.limiter.left = unlimited }()
	for interim := 0; interim <= maxInterim; {
		err := x.conn.expectHead()
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(x.conn.reader, methodOnly)
		}
		if err == nil {
			err = verifier.CheckHead(resp)
		}
		if err != nil {
			return nil, errors.Wrap(ErrBadResponse, err.Error())
		}
		if resp.StatusCode < http.StatusOK {
			interim++
			continue
		}
		if x.isOwn(resp) {
			return resp, nil
		}
		if mismatched++; mismatched > maxMismatched || !skippable(resp) {
			return nil, forwarder.ErrMismatched
		}
		x.conn.limiter.left = unlimited
		if _, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength); err != nil {
			return nil, forwarder.ErrMismatched
		}
		x.conn.limiter.left = maxHeadBytes
	}
	return nil, errors.Wrap(ErrBadResponse, "too many interim responses")
}

// isOwn reports whether a response belongs to this request. It has to carry the ID of the
// request: a copy of an earlier response may arrive first, or be all that arrives.
// Without an ID and a signature it is accepted as the first one on its connection, where
// no earlier response can be copied.
func (x *exchange) isOwn(resp *http.Response) bool {
	ids := resp.Header.Values(x.roundTripper.headerNames.RequestID)
	if len(ids) > 1 {
		return false
	}
	if id := strings.Join(ids, ""); id != "" || x.req.ID == "" {
		return id == x.req.ID
	}
	return x.conn.requests == 1 && !x.signed(resp)
}

// signed reports whether a response has the signature that backend servers add
// to their own responses.
func (x *exchange) signed(resp *http.Response) bool {
	return resp.Header.Get(x.roundTripper.headerNames.ResponseStamp) != ""
}

// skippable reports whether the end of a response to another request is known
// and near, so that the next response on the connection can be read.
func skippable(resp *http.Response) bool {
	return !resp.Close && resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody
}

// notRunError returns the error of a response that reports that the request was
// not executed, and nil for all other responses. A signed 421 without the not-run
// header is the backend server's own response; any other 421 means that the
// request was misdirected.
func (x *exchange) notRunError(resp *http.Response) error {
	notRun := resp.Header.Get(x.roundTripper.headerNames.NotRun) != ""
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && (notRun || !x.signed(resp)):
		return ErrMisdirected
	case notRun:
		return &ShedError{status: resp.StatusCode, header: resp.Header}
	}
	return nil
}

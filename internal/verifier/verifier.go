// Package verifier tells responses of an HTTP/1.1 server from bytes that are none: heads that
// the HTTP library accepts although the protocol does not allow them, and connections that
// were reset where the library sees the end of a response.
package verifier

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid means that bytes in the place of a response are none. The request may have been
// executed.
var ErrInvalid = errors.New("response is not valid HTTP/1.1")

const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns ErrInvalid if the protocol does not allow the head of a response. The
// body of such a response, and what follows on its connection, are not to be used.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Wrapf(ErrInvalid, "version %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "status 101 without a request for it")
	}
	return CheckFields(resp.Header)
}

// CheckFields returns ErrInvalid if the protocol does not allow the name of a field in a head
// or in trailers. A name that ends with a blank would otherwise hide the length of the body.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, isNotTokenChar) {
			return errors.Wrapf(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}

// isNotTokenChar reports whether a character may not be in a token (RFC 9110, section 5.6.2).
func isNotTokenChar(c rune) bool {
	alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// Transport returns a round tripper that returns ErrInvalid instead of responses of another
// one whose heads are not valid. Interim responses are left to that one.
func Transport(next http.RoundTripper) http.RoundTripper { return &transport{next: next} }

type transport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the request has failed in any case
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections lets http.Client close the idle connections.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

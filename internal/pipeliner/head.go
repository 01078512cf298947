package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var errNotPlain = errors.New("request is not plain")

// parsePlain parses the head of a request that can be started ahead: HTTP/1.1, without
// a body, and with nothing that the server might reject or treat in a special way. It
// is stricter than the server; what it rejects is left to the server.
func parsePlain(head []byte) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, errors.Wrap(err, "reading request ahead")
	}
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || !strings.HasPrefix(r.RequestURI, "/") || r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
		return nil, errNotPlain
	}
	for _, name := range []string{"Expect", "Upgrade", "Trailer"} {
		if _, ok := r.Header[name]; ok {
			return nil, errNotPlain
		}
	}
	if r.Host == "" || strings.ContainsFunc(r.Host, isNotHostChar) {
		return nil, errNotPlain
	}
	for name, values := range r.Header {
		if strings.ContainsFunc(name, isNotNameChar) || slices.ContainsFunc(values, hasControlChar) {
			return nil, errNotPlain
		}
	}
	return r, nil
}

func isAlphanumeric(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func isNotHostChar(c rune) bool { return !isAlphanumeric(c) && !strings.ContainsRune("-._:[]", c) }

func isNotNameChar(c rune) bool { return !isAlphanumeric(c) && c != '-' && c != '_' }

func hasControlChar(value string) bool {
	return strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// asksToClose reports whether a Connection header has the option "close".
func asksToClose(headers http.Header) bool {
	for _, value := range headers["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

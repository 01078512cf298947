package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

// hopByHop are the headers that concern one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd copies all headers that are not for one connection alone and not
// reserved to this system.
func CopyEndToEnd(to, from http.Header) {
	dropped := map[string]bool{}
	for _, name := range hopByHop {
		dropped[name] = true
	}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if dropped[name] || strings.HasPrefix(name, marker.Prefix) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}

package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/header"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd copies all headers except hop-by-hop headers, including those
// listed in Connection, and headers with the prefix reserved for this system.
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
		if dropped[name] || strings.HasPrefix(name, header.Prefix) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}

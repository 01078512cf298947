package admitter_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/admitter"
)

// FuzzStripKey puts a key into arbitrary header fields, cookies and query
// parameters. After stripping, no value may contain the key, literally or
// percent-encoded, and fields without the key must remain.
func FuzzStripKey(f *testing.F) {
	f.Add("key-1", "X-Debug", "seen key-1 here", "a=1&k=key-1&b=2", "a=1; session=key-1")
	f.Add("key-1", "Authorization", "Bearer key-1", "k=%6bey-1", "")
	f.Add("a", "X", "b", "c=%zz", "d=e")
	f.Fuzz(func(t *testing.T, key, name, value, query, cookie string) {
		if !admitter.ValidKey(key) {
			t.Skip("invalid keys are refused before stripping")
		}
		header := http.Header{"X-Kept": {"\x00"}}
		header[http.CanonicalHeaderKey(name)] = append(header[http.CanonicalHeaderKey(name)], value)
		header["Cookie"] = append(header["Cookie"], cookie)
		stripped := query
		admitter.StripKey(header, &stripped, key)
		for field, values := range header {
			for _, v := range values {
				if strings.Contains(v, key) {
					t.Errorf("field %q still contains the key: %q", field, v)
				}
			}
		}
		if strings.Contains(stripped, key) {
			t.Errorf("query still contains the key: %q", stripped)
		}
		for _, part := range strings.Split(stripped, "&") {
			if unescaped, err := url.QueryUnescape(part); err == nil && strings.Contains(unescaped, key) {
				t.Errorf("query still contains the encoded key: %q", part)
			}
		}
		if header.Get("X-Kept") == "" && http.CanonicalHeaderKey(name) != "X-Kept" {
			t.Error("a field without the key was removed")
		}
	})
}

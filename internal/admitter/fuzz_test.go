package admitter_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/admitter"
)

// FuzzStrip puts a key anywhere into a request. Nothing that goes on may hold
// it, as it stands or percent-encoded, and fields without it must stay.
func FuzzStrip(f *testing.F) {
	f.Add("key-1", "X-Debug", "seen key-1 here", "a=1&k=key-1&b=2", "a=1; session=key-1")
	f.Add("key-1", "Authorization", "Bearer key-1", "k=%6bey-1", "")
	f.Add("a", "X", "b", "c=%zz", "d=e")
	f.Fuzz(func(t *testing.T, key, name, value, query, cookie string) {
		if !admitter.ValidKey(key) {
			t.Skip("refused before anything is stripped")
		}
		header := http.Header{"X-Kept": {"\x00"}}
		header[http.CanonicalHeaderKey(name)] = append(header[http.CanonicalHeaderKey(name)], value)
		header["Cookie"] = append(header["Cookie"], cookie)
		rest := query
		admitter.Strip(header, &rest, key)
		for field, values := range header {
			for _, v := range values {
				if strings.Contains(v, key) {
					t.Errorf("field %q still holds the key: %q", field, v)
				}
			}
		}
		if strings.Contains(rest, key) {
			t.Errorf("query still holds the key: %q", rest)
		}
		for _, part := range strings.Split(rest, "&") {
			if plain, err := url.QueryUnescape(part); err == nil && strings.Contains(plain, key) {
				t.Errorf("query still holds the encoded key: %q", part)
			}
		}
		if header.Get("X-Kept") == "" && http.CanonicalHeaderKey(name) != "X-Kept" {
			t.Error("a field without the key is gone")
		}
	})
}

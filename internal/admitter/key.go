package admitter

import (
	"net/http"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/header"
)

const (
	bearerPrefix = "Bearer "
	maxKeyLength = 512 // bytes
)

// keyFromRequest returns the key of a request, or "" when it has none. It returns
// a refusal when there is more than one key, or when the key is too long, has
// invalid characters or also appears in the path.
func keyFromRequest(r *http.Request) (string, *Refusal) {
	var key string
	for _, value := range r.Header.Values(header.Key) {
		if key != "" {
			return "", multipleKeys()
		}
		key = value
	}
	for _, value := range r.Header.Values("Authorization") {
		if !strings.HasPrefix(value, bearerPrefix) {
			continue
		}
		if key != "" {
			return "", multipleKeys()
		}
		key = strings.TrimSpace(value[len(bearerPrefix):])
	}
	if len(key) > maxKeyLength {
		return "", RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest, "the key is too long", 0)
	}
	if key != "" && !ValidKey(key) {
		return "", RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest, "the key has characters that no key has", 0)
	}
	if key != "" && strings.Contains(r.URL.Path, key) {
		return "", RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest, "the key stands in the path", 0)
	}
	return key, nil
}

// ValidKey reports whether a key is not empty and consists of letters, digits
// and "-._~" only. A key with separators in it could be split over several parts
// of a query or cookie, where it would not be found and removed.
func ValidKey(key string) bool {
	for _, r := range key {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-._~", r) {
			return false
		}
	}
	return key != ""
}

func multipleKeys() *Refusal {
	return RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest, "the request carries more than one key", 0)
}

// StripKey removes the key header and every other header field, cookie and query
// parameter that contains the key, so that the key is not forwarded to a backend
// server. An empty key removes the key header only.
func StripKey(headers http.Header, rawQuery *string, key string) {
	headers.Del(header.Key)
	for name, values := range headers {
		kept := values[:0]
		for _, value := range values {
			switch {
			case key == "" || !strings.Contains(value, key):
				kept = append(kept, value)
			case name == "Cookie":
				if rest := removeParts(value, "; ", key); rest != "" {
					kept = append(kept, rest)
				}
			}
		}
		if len(kept) == 0 {
			delete(headers, name)
			continue
		}
		headers[name] = kept
	}
	if key != "" {
		*rawQuery = removeParts(*rawQuery, "&", key)
	}
}

// StripKeyFromTrailer removes trailer fields that contain a key.
func StripKeyFromTrailer(trailer http.Header, key string) {
	query := ""
	StripKey(trailer, &query, key)
}

// removeParts removes the parts of a separated list that contain the key, either
// literally or percent-encoded.
func removeParts(text, separator, key string) string {
	parts := strings.Split(text, separator)
	kept := parts[:0]
	for _, part := range parts {
		if !strings.Contains(unescape(part), key) && !strings.Contains(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, separator)
}

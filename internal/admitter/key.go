package admitter

import (
	"net/http"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

const (
	bearer       = "Bearer "
	maxKeyLength = 512 // bytes
)

// presented returns the key a request carries, or "" when it carries none.
func presented(r *http.Request) (string, *Refusal) {
	var key string
	for _, value := range r.Header.Values(marker.Key) {
		if key != "" {
			return "", twoKeys()
		}
		key = value
	}
	for _, value := range r.Header.Values("Authorization") {
		if !strings.HasPrefix(value, bearer) {
			continue
		}
		if key != "" {
			return "", twoKeys()
		}
		key = strings.TrimSpace(value[len(bearer):])
	}
	if len(key) > maxKeyLength {
		return "", NotRun(http.StatusBadRequest, marker.ReasonBadRequest, "the key is too long", 0)
	}
	if key != "" && !ValidKey(key) {
		return "", NotRun(http.StatusBadRequest, marker.ReasonBadRequest, "the key has characters that no key has", 0)
	}
	if key != "" && strings.Contains(r.URL.Path, key) {
		return "", NotRun(http.StatusBadRequest, marker.ReasonBadRequest, "the key stands in the path", 0)
	}
	return key, nil
}

// ValidKey reports whether a text has only characters that keys are made of:
// letters, digits and "-._~". A key with separators in it could stand in a
// query or cookie in pieces, and would not be found there.
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

func twoKeys() *Refusal {
	return NotRun(http.StatusBadRequest, marker.ReasonBadRequest, "the request carries more than one key", 0)
}

// Strip removes a key from everything that goes on to a backend server: header
// fields, cookies and query parameters, wherever it stands in them.
func Strip(header http.Header, rawQuery *string, key string) {
	header.Del(marker.Key)
	for name, values := range header {
		kept := values[:0]
		for _, value := range values {
			switch {
			case key == "" || !strings.Contains(value, key):
				kept = append(kept, value)
			case name == "Cookie":
				if rest := dropParts(value, "; ", key); rest != "" {
					kept = append(kept, rest)
				}
			}
		}
		if len(kept) == 0 {
			delete(header, name)
			continue
		}
		header[name] = kept
	}
	if key != "" {
		*rawQuery = dropParts(*rawQuery, "&", key)
	}
}

// StripTrailer removes trailer fields that hold a key.
func StripTrailer(trailer http.Header, key string) {
	query := ""
	Strip(trailer, &query, key)
}

func dropParts(text, separator, key string) string {
	parts := strings.Split(text, separator)
	kept := parts[:0]
	for _, part := range parts {
		if !strings.Contains(unescape(part), key) && !strings.Contains(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, separator)
}

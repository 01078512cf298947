package admitter

import "net/url"

// unescape returns a query part without percent escapes, or as it is when the
// escapes are malformed.
func unescape(part string) string {
	plain, err := url.QueryUnescape(part)
	if err != nil {
		return part
	}
	return plain
}

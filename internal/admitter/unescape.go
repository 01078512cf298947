package admitter

import "net/url"

// unescape decodes the percent escapes of a query part. It returns the part
// unchanged when the escapes are malformed.
func unescape(part string) string {
	unescaped, err := url.QueryUnescape(part)
	if err != nil {
		return part
	}
	return unescaped
}

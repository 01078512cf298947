// Package quarantiner finds requests that crash the backend servers which run them.
package quarantiner

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Digest identifies requests that are the same to a backend server: by caller, path and
// body.
type Digest uint64

// ErrInvalidDigest means that a text is not a digest.
var ErrInvalidDigest = errors.New("invalid request digest")

// String returns the digest as sixteen hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// ParseDigest reads a digest in the form of String.
func ParseDigest(text string) (Digest, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, errors.Wrapf(ErrInvalidDigest, "%q", text)
	}
	return Digest(value), nil
}

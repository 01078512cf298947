package dispatcher

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// loggedDigest returns the digest for the log line, or "" if nothing asked for it.
func (c *call) loggedDigest() string {
	if !c.digested {
		return ""
	}
	return c.requestDigest.String()
}

// digest returns the identity of the request: the same at all hosts for the same
// method, host, path, query, workspace and body, and for no others. Of a long body the
// beginning and the stated length count.
func (c *call) digest() quarantiner.Digest {
	if c.digested {
		return c.requestDigest
	}
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name()
	}
	body, complete := c.body.Prefix()
	length := c.r.ContentLength
	if complete {
		length = int64(len(body))
	}
	hash := sha256.New()
	for _, part := range []string{c.r.Method, strings.ToLower(hostName(c.r.Host)), c.r.RequestURI, workspace, strconv.FormatInt(length, 10)} {
		_, _ = hash.Write([]byte(part)) // never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	c.requestDigest = quarantiner.Digest(binary.BigEndian.Uint64(hash.Sum(nil)))
	c.digested = true
	return c.requestDigest
}

package parser

import (
	"fmt"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// KeysFileName returns the name of the file that holds a workspace's keys.
func KeysFileName(workspace string) string { return "keys-" + workspace + ".yaml" }

// RenderKeys returns the content of the file with a workspace's valid keys.
func RenderKeys(workspace string, keys []*cataloger.Key) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: keys\nkeys-of: %s\n", workspace)
	if len(keys) == 0 {
		b.WriteString("keys: []\n")
		return []byte(b.String())
	}
	b.WriteString("keys:\n")
	for _, key := range keys {
		fmt.Fprintf(&b, "  - {id: %s, sha256: %s}\n", key.ID(), key.Hash())
	}
	return []byte(b.String())
}

// ParseKeys returns the keys in a file, or none when data is nil because the file
// does not exist.
func ParseKeys(name string, data []byte) ([]*cataloger.Key, error) {
	if data == nil {
		return nil, nil
	}
	parts, err := Parse(NewDocument(name, data))
	return parts.Keys, err
}

// Package activator holds the active configuration of a host. It accepts heads
// from the store and from other hosts, but only with a higher generation than
// the active one, so that the configuration never reverts. It does no I/O.
package activator

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// Keys of the configuration in the platform's object store.
const (
	HeadKey    = "config/head"
	filePrefix = "config/file/"
)

// FileKey returns the store key of the file whose content has the given hash.
func FileKey(hash string) string { return filePrefix + hash }

// Head lists the files of one generation of the configuration.
type Head struct {
	Generation int64             // increases by one with each accepted change
	ChangeID   string            // unique; shows after a lost reply whether the write took effect
	Author     string            // who made the change; shown to operators
	Files      map[string]string // file name to hash of its content
}

// headJSON is the stored form of a Head.
type headJSON struct {
	Generation int64             `json:"generation"`
	ChangeID   string            `json:"change_id"`
	Author     string            `json:"author"`
	Files      map[string]string `json:"files"`
}

// Encode returns the stored form of the head.
func (h Head) Encode() ([]byte, error) {
	return json.Marshal(headJSON{
		Generation: h.Generation, ChangeID: h.ChangeID, Author: h.Author, Files: h.Files,
	})
}

// DecodeHead parses the stored form of a head. It returns an error if the data
// is not valid JSON or the generation is not positive.
func DecodeHead(data []byte) (Head, error) {
	var wire headJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return Head{}, errors.Wrap(err, "configuration head is malformed")
	}
	if wire.Generation <= 0 {
		return Head{}, errors.Errorf("configuration head has generation %d", wire.Generation)
	}
	return Head{
		Generation: wire.Generation, ChangeID: wire.ChangeID, Author: wire.Author, Files: wire.Files,
	}, nil
}

// Names returns the names of the files in alphabetical order.
func (h Head) Names() []string {
	names := make([]string, 0, len(h.Files))
	for name := range h.Files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

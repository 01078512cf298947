// Package watcher keeps the configuration in force. It accepts only higher
// generations, from the store or from other hosts, and never goes back. It does
// no I/O.
package watcher

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// Keys of the configuration in the platform's store.
const (
	HeadKey    = "config/head"
	filePrefix = "config/file/"
)

// FileKey returns the store key of a file by the hash of its content.
func FileKey(hash string) string { return filePrefix + hash }

// Head names the files of one generation.
type Head struct {
	Generation int64             // one higher for each accepted change
	ChangeID   string            // names the change, to settle lost replies
	Author     string            // who made the change, for others to see
	Files      map[string]string // file name to hash of its content
}

// headCodec is a head in the store.
type headCodec struct {
	Generation int64             `json:"generation"`
	ChangeID   string            `json:"change_id"`
	Author     string            `json:"author"`
	Files      map[string]string `json:"files"`
}

// Encode returns the head as it stands in the store.
func (h Head) Encode() ([]byte, error) {
	return json.Marshal(headCodec{
		Generation: h.Generation, ChangeID: h.ChangeID, Author: h.Author, Files: h.Files,
	})
}

// DecodeHead reads a head from the store.
func DecodeHead(data []byte) (Head, error) {
	var wire headCodec
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

// Names returns the names of the files in order.
func (h Head) Names() []string {
	names := make([]string, 0, len(h.Files))
	for name := range h.Files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

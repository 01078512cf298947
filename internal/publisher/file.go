package publisher

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/storer"
)

// encodeFile returns the stored form of a file: its name, a line feed, and its
// content.
func encodeFile(doc parser.Document) []byte {
	return append([]byte(doc.Name()+"\n"), doc.Data()...)
}

// decodeFile parses the stored form of a file.
func decodeFile(data []byte) (parser.Document, error) {
	name, content, ok := bytes.Cut(data, []byte("\n"))
	if !ok {
		return parser.Document{}, errors.New("stored file has no line with its name")
	}
	return parser.NewDocument(string(name), content), nil
}

// FetchFile reads the file with the given hash from the store. It returns an
// error if the content does not have that hash.
func FetchFile(ctx context.Context, store storer.Store, hash string) (parser.Document, error) {
	object, err := store.Get(ctx, activator.FileKey(hash))
	if err != nil {
		return parser.Document{}, err
	}
	doc, err := decodeFile(object.Value())
	if err != nil {
		return parser.Document{}, err
	}
	if doc.Hash() != hash {
		return parser.Document{}, errors.Errorf("stored file %q does not have hash %s", doc.Name(), hash)
	}
	return doc, nil
}

// Package publisher publishes changes of the configuration. It validates the
// whole configuration with the changed files, stores the files, and replaces the
// head by one conditional update.
package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/storer"
)

const (
	maxAttempts = 20
	retryDelay  = 50 * time.Millisecond
)

// ConflictError reports that someone else changed the same file in the meantime.
type ConflictError struct {
	file   string
	change string
	author string
}

// Error names the file, the other change and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("file %q was modified in the meantime by change %s of %q", e.file, e.change, e.author)
}

// Change is a set of edits to publish, by file name. An edit receives the
// published content of its file, or nil if there is none. It returns the new
// content, or nil to remove the file.
type Change struct {
	Author         string
	BaseGeneration int64 // generation the edits are based on; 0 for the current one
	Edits          map[string]func(old []byte) ([]byte, error)
}

// ReplaceWith returns an edit that sets a file's content.
func ReplaceWith(data []byte) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return data, nil }
}

// Publisher writes configurations to the platform's store.
type Publisher struct {
	store storer.Store
}

// New returns a publisher that writes to a store.
func New(store storer.Store) *Publisher { return &Publisher{store: store} }

// Current returns the head in the store and the version of its object. If the
// store has no head, it returns a head of generation 0 and version 0.
func (p *Publisher) Current(ctx context.Context) (activator.Head, int64, error) {
	object, err := p.store.Get(ctx, activator.HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
		return activator.Head{Files: map[string]string{}}, 0, nil
	}
	if err != nil {
		return activator.Head{}, 0, err
	}
	head, err := activator.DecodeHead(object.Value())
	return head, object.Version(), err
}

// Publish publishes a change and returns the head that contains it. Concurrent
// changes of other files are kept; a concurrent change of the same file results
// in a ConflictError. If a reply of the store is lost, Publish reads the head
// again to find out whether the change took effect.
func (p *Publisher) Publish(ctx context.Context, change Change) (activator.Head, error) {
	id := rand.Text()
	first, _, err := p.Current(ctx)
	if err != nil {
		return activator.Head{}, err
	}
	if change.BaseGeneration > 0 && change.BaseGeneration != first.Generation {
		return activator.Head{}, errors.Errorf(
			"the files are based on generation %d, but generation %d is published, by change %s of %q",
			change.BaseGeneration, first.Generation, first.ChangeID, first.Author)
	}
	var attempted activator.Head
	for range maxAttempts {
		head, version, err := p.Current(ctx)
		if err != nil {
			return activator.Head{}, err
		}
		if tookEffect(attempted, head, change) {
			return attempted, nil // the reply to an earlier attempt was lost
		}
		if err := findConflict(first, head, change); err != nil {
			return activator.Head{}, err
		}
		next, err := p.prepareHead(ctx, head, change, id)
		if err != nil {
			return activator.Head{}, err
		}
		committed, err := p.replaceHead(ctx, next, version)
		if committed || err != nil {
			return next, err
		}
		attempted = next
		time.Sleep(retryDelay)
	}
	return activator.Head{}, errors.Errorf("change could not be published in %d attempts because of concurrent changes or lost replies", maxAttempts)
}

// tookEffect reports whether the head in the store is the attempted one, or a
// later one that contains the same files of the change.
func tookEffect(attempted, head activator.Head, change Change) bool {
	if attempted.Generation == 0 || head.Generation < attempted.Generation {
		return false
	}
	if head.Generation == attempted.Generation {
		return head.ChangeID == attempted.ChangeID
	}
	for name := range change.Edits {
		if head.Files[name] != attempted.Files[name] {
			return false
		}
	}
	return true
}

// findConflict returns a ConflictError if a file of the change differs between
// the first head that was read and the current one.
func findConflict(first, head activator.Head, change Change) error {
	for name := range change.Edits {
		if head.Files[name] != first.Files[name] {
			return &ConflictError{file: name, change: head.ChangeID, author: head.Author}
		}
	}
	return nil
}

// prepareHead applies the edits, validates the whole configuration and stores the
// changed files. It returns the head to write.
func (p *Publisher) prepareHead(ctx context.Context, head activator.Head, change Change, id string) (activator.Head, error) {
	docs, err := p.ReadFiles(ctx, head)
	if err != nil {
		return activator.Head{}, err
	}
	for name, edit := range change.Edits {
		data, err := edit(contentOf(docs, name))
		if err != nil {
			return activator.Head{}, errors.Wrapf(err, "file %q", name)
		}
		delete(docs, name)
		if data != nil {
			docs[name] = parser.NewDocument(name, data)
		}
	}
	next := activator.Head{
		Generation: head.Generation + 1, ChangeID: id, Author: change.Author,
		Files: map[string]string{},
	}
	list := make([]parser.Document, 0, len(docs))
	for name, doc := range docs {
		next.Files[name] = doc.Hash()
		list = append(list, doc)
	}
	if _, err := parser.Build(next.Generation, list); err != nil {
		return activator.Head{}, err
	}
	for name := range change.Edits {
		if doc, ok := docs[name]; ok {
			if err := p.storeFile(ctx, doc); err != nil {
				return activator.Head{}, err
			}
		}
	}
	return next, nil
}

// contentOf returns the content of a file, or nil if it does not exist.
func contentOf(docs map[string]parser.Document, name string) []byte {
	if doc, ok := docs[name]; ok {
		return doc.Data()
	}
	return nil
}

// storeFile writes a file under the key of its hash. A conflict means that the
// same content is there already, possibly from a write whose reply was lost, and
// counts as success.
func (p *Publisher) storeFile(ctx context.Context, doc parser.Document) error {
	var err error
	for range maxAttempts {
		_, err = p.store.Put(ctx, activator.FileKey(doc.Hash()), encodeFile(doc), 0)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return nil
		}
		if !errors.Is(err, storer.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

// replaceHead replaces the head if it still has the given version. It returns false
// without an error if the head was modified in the meantime or the outcome of
// the write is unknown; the caller then reads the head again.
func (p *Publisher) replaceHead(ctx context.Context, next activator.Head, version int64) (bool, error) {
	data, err := next.Encode()
	if err != nil {
		return false, err
	}
	_, err = p.store.Put(ctx, activator.HeadKey, data, version)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrOutcomeUnknown) {
		return false, nil
	}
	return err == nil, err
}

// ReadFiles reads all files of a head from the store, by name.
func (p *Publisher) ReadFiles(ctx context.Context, head activator.Head) (map[string]parser.Document, error) {
	docs := map[string]parser.Document{}
	for name, hash := range head.Files {
		doc, err := FetchFile(ctx, p.store, hash)
		if err != nil {
			return nil, errors.Wrapf(err, "file %q", name)
		}
		docs[name] = doc
	}
	return docs, nil
}

// Package publisher puts changed files into force: the whole configuration is
// checked, then its head is replaced by one conditional update.
package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/watcher"
)

const (
	maxTries  = 20
	retryWait = 50 * time.Millisecond
)

// ConflictError says that someone else changed the same file meanwhile.
type ConflictError struct {
	file   string
	change string
	author string
}

// Error names the file, the other change and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("file %q was changed by change %s of %q meanwhile", e.file, e.change, e.author)
}

// Change is what to put into force. A file's edit gets its content in force, or
// nil, and returns the new one, or nil to remove the file.
type Change struct {
	Author string
	Base   int64 // generation the edits were made on; 0 for the present one
	Edits  map[string]func(old []byte) ([]byte, error)
}

// Replace returns an edit that sets a file's content.
func Replace(data []byte) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return data, nil }
}

// Publisher writes configurations to the platform's store.
type Publisher struct {
	store keeper.Store
}

// New returns a publisher on a store.
func New(store keeper.Store) *Publisher { return &Publisher{store: store} }

// Current returns the head in the store and its version, or a zero head.
func (p *Publisher) Current(ctx context.Context) (watcher.Head, int64, error) {
	object, err := p.store.Get(ctx, watcher.HeadKey)
	if errors.Is(err, keeper.ErrNotFound) {
		return watcher.Head{Files: map[string]string{}}, 0, nil
	}
	if err != nil {
		return watcher.Head{}, 0, err
	}
	head, err := watcher.DecodeHead(object.Value())
	return head, object.Version(), err
}

// Publish puts a change into force and returns the head that holds it. Changes
// of other files by others are kept; one of the same file is a ConflictError.
func (p *Publisher) Publish(ctx context.Context, change Change) (watcher.Head, error) {
	id := rand.Text()
	first, _, err := p.Current(ctx)
	if err != nil {
		return watcher.Head{}, err
	}
	if change.Base > 0 && change.Base != first.Generation {
		return watcher.Head{}, errors.Errorf(
			"the files were made for generation %d, in force is %d by change %s of %q",
			change.Base, first.Generation, first.ChangeID, first.Author)
	}
	var tried watcher.Head
	for range maxTries {
		head, version, err := p.Current(ctx)
		if err != nil {
			return watcher.Head{}, err
		}
		if tookEffect(tried, head, change) {
			return tried, nil // the reply of an earlier try was lost
		}
		if err := conflict(first, head, change); err != nil {
			return watcher.Head{}, err
		}
		next, err := p.prepare(ctx, head, change, id)
		if err != nil {
			return watcher.Head{}, err
		}
		done, err := p.commit(ctx, next, version)
		if done || err != nil {
			return next, err
		}
		tried = next
		time.Sleep(retryWait)
	}
	return watcher.Head{}, errors.Errorf("change was overtaken %d times", maxTries)
}

// tookEffect reports whether the head in the store is the one that was tried,
// or a later one that holds the same change.
func tookEffect(tried, head watcher.Head, change Change) bool {
	if tried.Generation == 0 || head.Generation < tried.Generation {
		return false
	}
	if head.Generation == tried.Generation {
		return head.ChangeID == tried.ChangeID
	}
	for name := range change.Edits {
		if head.Files[name] != tried.Files[name] {
			return false
		}
	}
	return true
}

func conflict(first, head watcher.Head, change Change) error {
	for name := range change.Edits {
		if head.Files[name] != first.Files[name] {
			return &ConflictError{file: name, change: head.ChangeID, author: head.Author}
		}
	}
	return nil
}

// prepare applies the edits, checks the whole and stores the changed files.
func (p *Publisher) prepare(ctx context.Context, head watcher.Head, change Change, id string) (watcher.Head, error) {
	docs, err := p.Files(ctx, head)
	if err != nil {
		return watcher.Head{}, err
	}
	for name, edit := range change.Edits {
		data, err := edit(content(docs, name))
		if err != nil {
			return watcher.Head{}, errors.Wrapf(err, "file %q", name)
		}
		delete(docs, name)
		if data != nil {
			docs[name] = parser.NewDocument(name, data)
		}
	}
	next := watcher.Head{
		Generation: head.Generation + 1, ChangeID: id, Author: change.Author,
		Files: map[string]string{},
	}
	list := make([]parser.Document, 0, len(docs))
	for name, doc := range docs {
		next.Files[name] = doc.Hash()
		list = append(list, doc)
	}
	if _, err := parser.Build(next.Generation, list); err != nil {
		return watcher.Head{}, err
	}
	for name := range change.Edits {
		if doc, ok := docs[name]; ok {
			if err := p.storeFile(ctx, doc); err != nil {
				return watcher.Head{}, err
			}
		}
	}
	return next, nil
}

func content(docs map[string]parser.Document, name string) []byte {
	if doc, ok := docs[name]; ok {
		return doc.Data()
	}
	return nil
}

// storeFile writes a file under its hash. That it is there already, also by a
// write whose reply was lost, is as good.
func (p *Publisher) storeFile(ctx context.Context, doc parser.Document) error {
	var err error
	for range maxTries {
		_, err = p.store.Put(ctx, watcher.FileKey(doc.Hash()), encodeFile(doc), 0)
		if err == nil || errors.Is(err, keeper.ErrConflict) {
			return nil
		}
		if !errors.Is(err, keeper.ErrUnsettled) {
			return err
		}
	}
	return err
}

// commit replaces the head. It reports false when someone else was faster or
// the outcome is not known, so that the next round finds out.
func (p *Publisher) commit(ctx context.Context, next watcher.Head, version int64) (bool, error) {
	data, err := next.Encode()
	if err != nil {
		return false, err
	}
	_, err = p.store.Put(ctx, watcher.HeadKey, data, version)
	if errors.Is(err, keeper.ErrConflict) || errors.Is(err, keeper.ErrUnsettled) {
		return false, nil
	}
	return err == nil, err
}

// Files returns all files of a head by name.
func (p *Publisher) Files(ctx context.Context, head watcher.Head) (map[string]parser.Document, error) {
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

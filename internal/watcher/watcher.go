package watcher

import (
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Watcher is the configuration of one host.
type Watcher struct {
	head    Head // in force; its generation never falls
	files   map[string]parser.Document
	catalog *cataloger.Catalog
	pending Head // the highest one offered, while files are missing
	refused int64
}

// New returns a watcher without a configuration.
func New() *Watcher {
	return &Watcher{files: map[string]parser.Document{}}
}

// Head returns the head in force; its generation is 0 when there is none.
func (w *Watcher) Head() Head { return w.head }

// Catalog returns the configuration in force, or nil.
func (w *Watcher) Catalog() *cataloger.Catalog { return w.catalog }

// File returns a file that is held, by hash.
func (w *Watcher) File(hash string) (parser.Document, bool) {
	doc, ok := w.files[hash]
	return doc, ok
}

// Offer takes in a head from anywhere, however old.
func (w *Watcher) Offer(head Head) {
	if head.Generation > max(w.head.Generation, w.pending.Generation, w.refused) {
		w.pending = head
	}
}

// Missing returns the hashes of the files that the pending head lacks.
func (w *Watcher) Missing() []string {
	var missing []string
	for _, name := range w.pending.Names() {
		hash := w.pending.Files[name]
		if _, held := w.files[hash]; !held {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Provide takes in a file. One whose content does not have the hash asked for
// is dropped.
func (w *Watcher) Provide(hash string, doc parser.Document) bool {
	if doc.Hash() != hash {
		return false
	}
	w.files[hash] = doc
	return true
}

// Advance puts the pending head into force when all its files are there. It
// reports whether the configuration changed. A head whose files do not fit
// together is refused for good and the error says why.
func (w *Watcher) Advance() (bool, error) {
	if w.pending.Generation <= w.head.Generation || len(w.Missing()) > 0 {
		return false, nil
	}
	next := w.pending
	w.pending = Head{}
	docs := make([]parser.Document, 0, len(next.Files))
	for _, name := range next.Names() {
		docs = append(docs, w.files[next.Files[name]])
	}
	catalog, err := parser.Build(next.Generation, docs)
	if err != nil {
		w.refused = next.Generation
		return false, err
	}
	w.head = next
	w.catalog = catalog
	w.forget()
	return true, nil
}

// forget drops files that the configuration in force does not name.
func (w *Watcher) forget() {
	named := map[string]bool{}
	for _, hash := range w.head.Files {
		named[hash] = true
	}
	for hash := range w.files {
		if !named[hash] {
			delete(w.files, hash)
		}
	}
}

package activator

import (
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Activator holds the active and the pending configuration of one host.
type Activator struct {
	head     Head                       // active; its generation never decreases
	files    map[string]parser.Document // by hash of the content
	catalog  *cataloger.Catalog
	pending  Head  // the highest generation offered so far, until all its files are there
	rejected int64 // highest generation whose files are invalid together
}

// New returns a watcher without a configuration.
func New() *Activator {
	return &Activator{files: map[string]parser.Document{}}
}

// Head returns the active head. Its generation is 0 if there is none.
func (w *Activator) Head() Head { return w.head }

// Catalog returns the active configuration, or nil if there is none.
func (w *Activator) Catalog() *cataloger.Catalog { return w.catalog }

// File returns the file with the given hash, if the watcher holds it.
func (w *Activator) File(hash string) (parser.Document, bool) {
	doc, ok := w.files[hash]
	return doc, ok
}

// Offer makes a head the pending one. It ignores a head whose generation is not
// above that of the active, the pending and the last rejected head.
func (w *Activator) Offer(head Head) {
	if head.Generation > max(w.head.Generation, w.pending.Generation, w.rejected) {
		w.pending = head
	}
}

// MissingFiles returns the hashes of the files of the pending head that the watcher
// does not hold yet.
func (w *Activator) MissingFiles() []string {
	var missing []string
	for _, name := range w.pending.Names() {
		hash := w.pending.Files[name]
		if _, held := w.files[hash]; !held {
			missing = append(missing, hash)
		}
	}
	return missing
}

// AddFile stores a file. It returns false and drops the file if its content
// does not have the given hash.
func (w *Activator) AddFile(hash string, doc parser.Document) bool {
	if doc.Hash() != hash {
		return false
	}
	w.files[hash] = doc
	return true
}

// Activate activates the pending head if all its files are there. It reports
// whether the active configuration changed. If the files are invalid together,
// it returns the reason and rejects the generation permanently.
func (w *Activator) Activate() (bool, error) {
	if w.pending.Generation <= w.head.Generation || len(w.MissingFiles()) > 0 {
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
		w.rejected = next.Generation
		return false, err
	}
	w.head = next
	w.catalog = catalog
	w.dropUnusedFiles()
	return true, nil
}

// dropUnusedFiles drops the files that are not part of the active configuration.
func (w *Activator) dropUnusedFiles() {
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

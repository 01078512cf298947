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

// New returns an activator without a configuration.
func New() *Activator {
	return &Activator{files: map[string]parser.Document{}}
}

// Head returns the active head. Its generation is 0 if there is none.
func (a *Activator) Head() Head { return a.head }

// Catalog returns the active configuration, or nil if there is none.
func (a *Activator) Catalog() *cataloger.Catalog { return a.catalog }

// File returns the file with the given hash, if the activator holds it.
func (a *Activator) File(hash string) (parser.Document, bool) {
	doc, ok := a.files[hash]
	return doc, ok
}

// Offer makes a head the pending one. It ignores a head whose generation is not
// above that of the active, the pending and the last rejected head.
func (a *Activator) Offer(head Head) {
	if head.Generation > max(a.head.Generation, a.pending.Generation, a.rejected) {
		a.pending = head
	}
}

// MissingFiles returns the hashes of the files of the pending head that the
// activator does not hold yet.
func (a *Activator) MissingFiles() []string {
	var missing []string
	for _, name := range a.pending.Names() {
		hash := a.pending.Files[name]
		if _, held := a.files[hash]; !held {
			missing = append(missing, hash)
		}
	}
	return missing
}

// AddFile stores a file. It returns false and drops the file if its content
// does not have the given hash.
func (a *Activator) AddFile(hash string, doc parser.Document) bool {
	if doc.Hash() != hash {
		return false
	}
	a.files[hash] = doc
	return true
}

// Activate activates the pending head if all its files are there. It reports
// whether the active configuration changed. If the files are invalid together,
// it returns the reason and rejects the generation permanently.
func (a *Activator) Activate() (bool, error) {
	if a.pending.Generation <= a.head.Generation || len(a.MissingFiles()) > 0 {
		return false, nil
	}
	next := a.pending
	a.pending = Head{}
	docs := make([]parser.Document, 0, len(next.Files))
	for _, name := range next.Names() {
		docs = append(docs, a.files[next.Files[name]])
	}
	catalog, err := parser.Build(next.Generation, docs)
	if err != nil {
		a.rejected = next.Generation
		return false, err
	}
	a.head = next
	a.catalog = catalog
	a.dropUnusedFiles()
	return true, nil
}

// dropUnusedFiles drops the files that are not part of the active configuration.
func (a *Activator) dropUnusedFiles() {
	named := map[string]bool{}
	for _, hash := range a.head.Files {
		named[hash] = true
	}
	for hash := range a.files {
		if !named[hash] {
			delete(a.files, hash)
		}
	}
}

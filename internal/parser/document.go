// Package parser turns the short YAML files that operators publish into the
// items of a catalog, and those items into a checked catalog.
package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sort"

	"magnoliahill.example/magnoliahill/internal/reader"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Document is one published file.
type Document struct {
	name string // unique within a configuration
	data []byte
}

// NewDocument returns a file with its name and content.
func NewDocument(name string, data []byte) Document {
	return Document{name: name, data: data}
}

// Name returns the file's name.
func (d Document) Name() string { return d.name }

// Data returns the file's content. It must not be changed.
func (d Document) Data() []byte { return d.data }

// Hash returns the hash that the file is stored under. It covers name and
// content, so that a file can be checked wherever it comes from.
func (d Document) Hash() string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, d.name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(d.data)
	return hex.EncodeToString(digest.Sum(nil)[:hashBytes])
}

const hashBytes = 16 // of the SHA-256 sum

type kindParser func(m *reader.Mapping) cataloger.Parts

var kinds = map[string]kindParser{
	"service":   parseService,
	"workspace": parseWorkspace,
	"keys":      parseKeys,
	"topology":  parseTopology,
	"move":      parseMove,
	"site":      parseSite,
}

func kindNames() []string {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Parse reads one file. The error lists every fault with its line and field.
func Parse(doc Document) (cataloger.Parts, error) {
	m, err := reader.Parse(doc.name, doc.data)
	if err != nil {
		return cataloger.Parts{}, err
	}
	kind := m.Required("kind")
	parse, ok := kinds[kind]
	if !ok {
		m.Fail("kind", "%q is none of %q", kind, kindNames())
		return cataloger.Parts{}, m.Problems()
	}
	parts := parse(m)
	if err := m.Finish(); err != nil {
		return cataloger.Parts{}, err
	}
	return parts, nil
}

// Build reads a whole set of files and checks them against one another. It
// reports the faults of all files at once.
func Build(generation int64, docs []Document) (*cataloger.Catalog, error) {
	var (
		parts    cataloger.Parts
		problems reader.Problems
	)
	for _, doc := range docs {
		more, err := Parse(doc)
		if err != nil {
			problems.Merge(doc.name, err)
			continue
		}
		parts.Append(more)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	catalog, err := cataloger.New(generation, parts)
	if faults, ok := err.(cataloger.Faults); ok {
		return nil, fromFaults(faults)
	}
	return catalog, err
}

func fromFaults(faults cataloger.Faults) error {
	problems := &reader.Problems{}
	for _, f := range faults {
		problems.Add(reader.NewProblem(f.File(), f.Line(), f.Field(), f.Text()))
	}
	return problems
}

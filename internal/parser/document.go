// Package parser turns the YAML files that operators publish into the items of a
// catalog, and these into a validated catalog.
package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sort"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Document holds the name and content of one published file.
type Document struct {
	name string // unique within a configuration
	data []byte
}

// NewDocument returns a document with the name and content of a file.
func NewDocument(name string, data []byte) Document {
	return Document{name: name, data: data}
}

// Name returns the file's name.
func (d Document) Name() string { return d.name }

// Data returns the file's content. It must not be changed.
func (d Document) Data() []byte { return d.data }

// Hash returns the hexadecimal hash that the file is stored under. It covers the
// name and the content, so that a file can be verified whatever its source.
func (d Document) Hash() string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, d.name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(d.data)
	return hex.EncodeToString(digest.Sum(nil)[:hashBytes])
}

const hashBytes = 16 // leading bytes of the SHA-256 hash that are used

type parseFunc func(m *decoder.Mapping) cataloger.Items

var parsersByKind = map[string]parseFunc{
	"service":   parseService,
	"workspace": parseWorkspace,
	"keys":      parseKeys,
	"topology":  parseTopology,
	"move":      parseMove,
	"site":      parseSite,
}

func kindNames() []string {
	var names []string
	for name := range parsersByKind {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Parse parses one file. The error lists every problem with its line and field.
func Parse(doc Document) (cataloger.Items, error) {
	m, err := decoder.Parse(doc.name, doc.data)
	if err != nil {
		return cataloger.Items{}, err
	}
	kind := m.Required("kind")
	parse, ok := parsersByKind[kind]
	if !ok {
		m.AddProblem("kind", "%q is not one of %q", kind, kindNames())
		return cataloger.Items{}, m.Problems()
	}
	parts := parse(m)
	if err := m.Finish(); err != nil {
		return cataloger.Items{}, err
	}
	return parts, nil
}

// Build parses a set of files, validates them against one another, and returns
// the catalog. The error lists the problems of all files.
func Build(generation int64, docs []Document) (*cataloger.Catalog, error) {
	var (
		parts    cataloger.Items
		problems decoder.Problems
	)
	for _, doc := range docs {
		docParts, err := Parse(doc)
		if err != nil {
			problems.Merge(doc.name, err)
			continue
		}
		parts.Append(docParts)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	catalog, err := cataloger.New(generation, parts)
	if catalogProblems, ok := err.(cataloger.Problems); ok {
		return nil, fileProblems(catalogProblems)
	}
	return catalog, err
}

// fileProblems converts the problems of a catalog to problems in files.
func fileProblems(catalogProblems cataloger.Problems) error {
	problems := &decoder.Problems{}
	for _, problem := range catalogProblems {
		problems.Add(decoder.NewProblem(problem.File(), problem.Line(), problem.Field(), problem.Message()))
	}
	return problems
}

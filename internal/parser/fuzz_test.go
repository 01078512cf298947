package parser_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/parser"
)

// FuzzFiles passes arbitrary bytes to the parsers of catalog files and of
// settings. They must not panic, and an error must contain the file name.
func FuzzFiles(f *testing.F) {
	examples, err := filepath.Glob("../../docs/operating/example/*.yaml")
	if err != nil || len(examples) == 0 {
		f.Fatal("no example files found", err)
	}
	for _, example := range examples {
		data, err := os.ReadFile(example)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("host: {name: h, zone: z}\nlisten: {data: \"127.0.0.1:1\", control: \"127.0.0.1:2\"}\nplatform: {url: \"http://127.0.0.1:3\"}"))
	f.Add([]byte("kind: &a [*a]"))
	f.Add([]byte("kind: service\nkind: service"))
	f.Add([]byte("? {a: 1}\n: b"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc := parser.NewDocument("file.yaml", data)
		if _, err := parser.Parse(doc); err != nil && !strings.Contains(err.Error(), "file.yaml") {
			t.Errorf("error does not name the file: %v", err)
		}
		_, _ = parser.Build(1, []parser.Document{doc})
		if _, err := loader.Parse("file.yaml", data); err != nil && !strings.Contains(err.Error(), "file.yaml") {
			t.Errorf("error does not name the file: %v", err)
		}
	})
}

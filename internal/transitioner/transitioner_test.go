package transitioner_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"magnoliahill.example/magnoliahill/charts"
	"magnoliahill.example/magnoliahill/internal/transitioner"
)

// Each file contains an invalid chart and the lines that its error must contain.
func TestInvalidCharts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no test files", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = transitioner.Parse(archive.Files[0].Name, archive.Files[0].Data)
			if err == nil {
				t.Fatal("the invalid chart was accepted")
			}
			for _, line := range strings.Split(strings.TrimSpace(string(archive.Files[1].Data)), "\n") {
				if !strings.Contains(err.Error(), line) {
					t.Errorf("no %q in\n%v", line, err)
				}
			}
		})
	}
}

func TestEmbeddedChartsAreValid(t *testing.T) {
	entries, err := charts.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if _, err := transitioner.Load(strings.TrimSuffix(entry.Name(), ".yaml")); err != nil {
			t.Error(err)
		}
	}
}

// A dispatched request may not be refused: the backend server may have executed
// it already. If the connection breaks, its outcome is unknown.
func TestRequestChart(t *testing.T) {
	is := is.New(t)
	c := transitioner.MustLoad("request")
	state := c.Initial()
	for _, trigger := range []transitioner.Trigger{"admit", "wait", "dispatch"} {
		is.NoErr(c.Fire(&state, trigger))
	}
	is.Equal(state, transitioner.State("dispatched"))
	is.True(c.Fire(&state, "refuse") != nil)
	is.Equal(state, transitioner.State("dispatched")) // an illegal trigger does not change the state
	next, err := c.Next(state, "break")
	is.NoErr(err)
	is.Equal(next, transitioner.State("unknown"))
	is.True(c.IsFinal(next))
}

package activator_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/parser"
)

func document(generation int64) parser.Document {
	return parser.NewDocument("t.yaml", []byte(fmt.Sprintf("kind: topology\nregions: [{name: r%d, zones: [z]}]", generation)))
}

func headOf(generation int64) activator.Head {
	return activator.Head{
		Generation: generation, ChangeID: fmt.Sprint(generation),
		Files: map[string]string{"t.yaml": document(generation).Hash()},
	}
}

// Heads and files arrive in random order, some files with the wrong content.
// The active generation must never decrease, and the highest generation offered
// must become active once its files are there.
func TestGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := activator.New()
		highest, active := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := rapid.Int64Range(1, 9).Draw(t, "generation")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				w.Offer(headOf(g))
				highest = max(highest, g)
			case 1:
				w.AddFile(document(g).Hash(), document(g))
			case 2: // the content does not match the hash
				if w.AddFile(document(g).Hash(), document(g+100)) {
					t.Fatal("a file with the wrong hash was accepted")
				}
			}
			if _, err := w.Activate(); err != nil {
				t.Fatal(err)
			}
			if w.Head().Generation < active {
				t.Fatalf("active generation decreased to %d from %d", w.Head().Generation, active)
			}
			active = w.Head().Generation
		}
		w.AddFile(document(highest).Hash(), document(highest))
		_, _ = w.Activate()
		if highest > 0 && w.Catalog().Generation() != highest {
			t.Fatalf("generation %d is active, %d was offered", w.Catalog().Generation(), highest)
		}
	})
}

func TestInvalidConfigurationIsRejectedPermanently(t *testing.T) {
	is := is.New(t)
	w := activator.New()
	bad := parser.NewDocument("w.yaml", []byte("kind: workspace\nworkspace: w\nservices: [none]\nrate: 1"))
	head := activator.Head{Generation: 2, Files: map[string]string{"w.yaml": bad.Hash()}}
	w.Offer(headOf(1))
	w.AddFile(document(1).Hash(), document(1))
	_, err := w.Activate()
	is.NoErr(err)
	w.Offer(head)
	w.AddFile(bad.Hash(), bad)
	_, err = w.Activate()
	is.True(err != nil)
	w.Offer(head) // offered again, as by another host
	changed, err := w.Activate()
	is.NoErr(err)
	is.True(!changed)
	is.Equal(w.Catalog().Generation(), int64(1))
}

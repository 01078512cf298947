package registrar_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Guards against ids and names that headers, log lines or gossip cannot carry.
func TestRegistrationsWithUnusableNamesAreInvalid(t *testing.T) {
	is := is.New(t)
	is.NoErr(registrar.NewInstance("i-1", "desk", "10.0.0.1:80", "a").Validate())
	for _, name := range []string{"", "a b", "a\r\nX-Other: 1", "\x00", "ä", strings.Repeat("x", 254)} {
		for _, i := range []registrar.Instance{
			registrar.NewInstance(name, "desk", "10.0.0.1:80", "a"),
			registrar.NewInstance("i-1", name, "10.0.0.1:80", "a"),
			registrar.NewInstance("i-1", "desk", "10.0.0.1:80", name),
		} {
			err := i.Validate()
			is.True(err != nil)
			is.True(len(err.Error()) < 300)
		}
	}
}

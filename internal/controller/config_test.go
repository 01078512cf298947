package controller

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Guards against averages that a route inherits from an older one of the same name.
func TestReplacedRoutesAreThoseGoneOrWithAnotherPath(t *testing.T) {
	is := is.New(t)
	catalog := func(version int64, prefixes map[string]string) *cataloger.Catalog {
		origin := cataloger.NewOrigin("test", 0)
		items := cataloger.Items{Services: []*cataloger.Service{cataloger.NewService(origin, "svc", cataloger.Urgent)}}
		for name, prefix := range prefixes {
			items.Routes = append(items.Routes, cataloger.NewRoute(origin, name, "shop", prefix, []cataloger.Split{cataloger.NewSplit("svc", 1)}))
		}
		c, err := cataloger.New(version, items)
		is.NoErr(err)
		return c
	}
	before := catalog(1, map[string]string{"kept": "/a/", "gone": "/b/", "moved": "/c/"})
	after := catalog(2, map[string]string{"kept": "/a/", "moved": "/d/", "new": "/b/"})
	is.Equal(slices.Sorted(slices.Values(replacedRoutes(before, after))), []string{"gone", "moved"})
	is.Equal(replacedRoutes(nil, after), nil)
}

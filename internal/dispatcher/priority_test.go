package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// A workspace's own priority takes precedence over the route's, also if it is 0.
func TestPriorityOfWorkspaceGoesFirst(t *testing.T) {
	is := is.New(t)
	origin := cataloger.NewOrigin("test", 0)
	route := cataloger.NewRoute(origin, "r", "shop", "/", nil, cataloger.WithRoutePriority(2))
	workspace := func(options ...cataloger.WorkspaceOption) *cataloger.Workspace {
		return cataloger.NewWorkspace(origin, "w", nil, 0, 0, 1, options...)
	}
	is.Equal((&call{route: route}).priority(), 2)
	is.Equal((&call{route: route, workspace: workspace()}).priority(), 2)
	is.Equal((&call{route: route, workspace: workspace(cataloger.WithPriority(0))}).priority(), 0)
	is.Equal((&call{route: route, workspace: workspace(cataloger.WithPriority(5))}).priority(), 5)
}

package server

import (
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/sharer"
)

// A host that joined must be known to the others at once, since only members
// are given parts.
func TestRosterWithMoreMembersIsNews(t *testing.T) {
	is := is.New(t)
	two := sharer.Roster{Epoch: 3, Members: make([]sharer.Member, 2)}
	is.True(older(2, 9, two))
	is.True(older(3, 1, two))
	is.True(!older(3, 2, two))
	is.True(!older(4, 1, two))
}

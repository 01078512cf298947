package server

import (
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/sharer"
)

// Guards against a host that joins an epoch and is not announced to the others
// at once: only members receive shares.
func TestRosterWithFewerMembersIsBehind(t *testing.T) {
	is := is.New(t)
	two := sharer.Roster{Epoch: 3, Members: make([]sharer.Member, 2)}
	is.True(rosterBehind(2, 9, two))
	is.True(rosterBehind(3, 1, two))
	is.True(!rosterBehind(3, 2, two))
	is.True(!rosterBehind(4, 1, two))
}

package storer

// Position is a point in the history of a store. A store that comes back from an
// earlier copy starts a new era and gives out revisions again, so that revisions
// can be compared only within an era. Era 0 means that the era is not known.
type Position struct {
	era      int64 // never negative
	revision int64
}

// NewPosition returns the position of a revision in an era.
func NewPosition(era, revision int64) Position { return Position{era: era, revision: revision} }

// Era returns the era, or 0 if it is not known.
func (p Position) Era() int64 { return p.era }

// Revision returns the revision within the era.
func (p Position) Revision() int64 { return p.revision }

// SameEra reports whether both positions may belong to the same era.
func (p Position) SameEra(other Position) bool {
	return p.era == other.era || p.era == 0 || other.era == 0
}

// Before reports whether a position is earlier than another one. Positions that may
// belong to the same era are compared by revision.
func (p Position) Before(other Position) bool {
	if p.SameEra(other) {
		return p.revision < other.revision
	}
	return p.era < other.era
}

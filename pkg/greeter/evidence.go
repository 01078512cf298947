package greeter

import (
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

// Evidence is what tries said of backend servers, by their numbers.
type Evidence map[uint32]placer.Evidence

// rounds collects evidence and gives it to each host once. In each availability
// zone one host, the first on duty, passes that of its zone on to other zones
// and theirs to its own, so that none is counted twice.
type rounds struct {
	zone, rest Evidence // heard since the last round, from the own zone and from others
	near, far  Evidence // to be told in this round, to the own zone and to others
	told       map[string]bool
}

func newRounds() rounds {
	return rounds{zone: Evidence{}, rest: Evidence{}, told: map[string]bool{}}
}

// Round begins a round of greetings with what this host's own tries said.
func (g *Greeter) Round(now time.Duration, own Evidence) {
	near, far := Evidence{}, Evidence{}
	near.add(own)
	if g.among(now, 1) {
		near.add(g.rounds.rest)
		far.add(own)
		far.add(g.rounds.zone)
	}
	g.rounds = newRounds()
	g.rounds.near = near.few(func(placer.Evidence) bool { return true })
	g.rounds.far = far.few(func(e placer.Evidence) bool { return e.Impaired })
}

// HeardEvidence takes in what a host of a zone told.
func (g *Greeter) HeardEvidence(zone string, told Evidence) {
	if zone == g.zone {
		g.rounds.zone.add(told)
	} else {
		g.rounds.rest.add(told)
	}
}

// Evidence returns what to tell the recipient of a letter: nothing when it was
// told in this round.
func (g *Greeter) Evidence(letter Letter) Evidence {
	if !letter.Tells || g.rounds.told[letter.Control] {
		return nil
	}
	g.rounds.told[letter.Control] = true
	if letter.Foreign {
		return g.rounds.far
	}
	return g.rounds.near
}

func (e Evidence) add(more Evidence) {
	for number, one := range more {
		e[number] = e[number].Add(one)
	}
}

// few returns the wanted evidence, of the backend servers that were tried most.
func (e Evidence) few(wanted func(placer.Evidence) bool) Evidence {
	numbers := make([]uint32, 0, len(e))
	for number, one := range e {
		if wanted(one) {
			numbers = append(numbers, number)
		}
	}
	sort.Slice(numbers, func(i, j int) bool {
		a, b := e[numbers[i]].Tries, e[numbers[j]].Tries
		return a > b || a == b && numbers[i] < numbers[j]
	})
	chosen := make(Evidence, len(numbers))
	for _, number := range numbers[:min(mostTold, len(numbers))] {
		chosen[number] = e[number]
	}
	return chosen
}

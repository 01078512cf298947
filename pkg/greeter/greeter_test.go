package greeter_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// net is hosts that greet one another in virtual time, every half second.
type net struct {
	now   time.Duration
	hosts map[string]*host
	lost  func(from, to string) bool
	sent  int
	rng   *rand.Rand // order in which hosts send
}

type host struct {
	name, zone string
	tracker    *tracker.Tracker
	greeter    *greeter.Greeter
	load       greeter.Load
	evidence   greeter.Evidence // of its own tries, each round
	heard      greeter.Evidence
	down       bool
}

func newNet(zones, each int) *net { return newNetSeeded(zones, each, 1) }

func newNetSeeded(zones, each int, seed uint64) *net {
	n := &net{rng: rand.New(rand.NewPCG(seed, 0)), hosts: map[string]*host{}, lost: func(string, string) bool { return false }}
	var contacts []greeter.Contact
	for z := range zones {
		for i := range each {
			name, zone := fmt.Sprintf("h%d-%d", z, i), fmt.Sprint("z", z)
			beat := tracker.Beat{ID: tracker.HostID{Name: name, Incarnation: n.rng.Uint64()}, Zone: zone, Control: name}
			t := tracker.New(beat, tracker.WithSilence(2200*time.Millisecond))
			n.hosts[name] = &host{
				name: name, zone: zone, tracker: t, greeter: greeter.New(name, zone, t, nil), load: greeter.Load{Demands: map[uint32]float64{1: 1}, Running: map[uint32]int{7: 2}},
				heard: greeter.Evidence{},
			}
			contacts = append(contacts, greeter.Contact{Name: name, Zone: zone, Control: name})
		}
	}
	for _, h := range n.hosts {
		h.greeter.SetContacts(contacts)
	}
	return n
}

func (n *net) round() {
	n.now += 500 * time.Millisecond
	names := slices.Sorted(maps.Keys(n.hosts))
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		h := n.hosts[name]
		if h.down {
			continue
		}
		h.greeter.Round(n.now, h.evidence)
		for _, letter := range h.greeter.Letters(n.now) {
			to := n.hosts[letter.Control]
			n.sent++
			if to == h || to.down || n.lost(h.name, to.name) {
				continue
			}
			evidence := h.greeter.Evidence(letter)
			to.greeter.HeardEvidence(h.zone, evidence)
			for number, one := range evidence {
				to.heard[number] = to.heard[number].Add(one)
			}
			beats := h.tracker.Beats(n.now)
			if letter.Full {
				to.tracker.Heard(n.now, beats...)
			}
			to.tracker.HeardPulses(n.now, h.tracker.Pulses(n.now))
			to.greeter.Heard(n.now, h.name, h.zone, h.greeter.Digest(n.now), h.greeter.Records(n.now, h.load, letter.Foreign))
		}
	}
}

func (n *net) rounds(count int) {
	for range count {
		n.round()
	}
}

func TestAllHostsHearOfAllOthersAndTheirLoad(t *testing.T) {
	is := is.New(t)
	n := newNet(6, 5)
	n.rounds(8) // what was told before duties settled holds for three seconds
	for _, h := range n.hosts {
		is.Equal(len(h.tracker.Live(n.now)), 30)
		is.Equal(h.greeter.Others(n.now).Demands[1], 29.0)
		is.Equal(h.greeter.Others(n.now).Running[7], 58)
	}
}

// A record names no more backend servers than fit into a datagram, the busiest.
func TestRecordsNameTheBusiestBackendServers(t *testing.T) {
	is := is.New(t)
	n := newNet(1, 2)
	own := greeter.Load{Running: map[uint32]int{}}
	for number := range uint32(1000) {
		own.Running[number] = int(number)
	}
	records := n.hosts["h0-0"].greeter.Records(n.now, own, false)
	is.Equal(len(records[0].Running), 128)
	for number := range records[0].Running {
		is.True(number >= 1000-128)
	}
}

// What a host on duty tells its zone does not grow with the number of zones and
// of backend servers together.
func TestRestOfTheZonesIsOneRecord(t *testing.T) {
	is := is.New(t)
	n := newNet(8, 3)
	for _, h := range n.hosts {
		for number := range uint32(100) {
			h.load.Running[number] = 1
		}
	}
	n.rounds(8)
	for _, h := range n.hosts {
		told := 0
		for _, r := range h.greeter.Records(n.now, h.load, false) {
			told += len(r.Running)
		}
		is.True(told <= 200)
		is.Equal(h.greeter.Others(n.now).Running[50], 23)
	}
}

// A zone whose watching host is turned away by the store has another one watch;
// when all are, no more than two do.
func TestHostThatTheStoreDoesNotAnswerIsReplaced(t *testing.T) {
	is := is.New(t)
	n := newNet(2, 5)
	n.rounds(6)
	watching := func() []string {
		var names []string
		for name, h := range n.hosts {
			if h.zone == "z0" && h.greeter.Watches(n.now) {
				names = append(names, name)
			}
		}
		return names
	}
	blind := func(name string, yes bool) {
		for _, h := range n.hosts {
			h.greeter.SetBlind(name, yes)
		}
	}
	first := watching()
	is.Equal(len(first), 1)
	blind(first[0], true)
	second := watching()
	is.Equal(len(second), 1)
	is.True(second[0] != first[0])
	blind(second[0], true)
	is.Equal(watching(), first)
	blind(first[0], false)
	is.Equal(watching(), first)
}

// Each host hears each piece of evidence once, however it comes to it.
func TestEvidenceReachesAllHostsOnce(t *testing.T) {
	is := is.New(t)
	n := newNet(4, 3)
	n.rounds(6)
	n.hosts["h1-2"].evidence = greeter.Evidence{9: {Tries: 3, Failed: 1, Slowness: 4, Impaired: true}}
	n.round()
	n.hosts["h1-2"].evidence = nil
	n.rounds(5)
	for name, h := range n.hosts {
		if name != "h1-2" {
			is.Equal(h.heard[9].Tries, 3)
			is.Equal(h.heard[9].Failed, 1)
		}
	}
}

// Letters to other zones come from two hosts of a zone only.
func TestLettersGrowWithZonesNotHosts(t *testing.T) {
	is := is.New(t)
	n := newNet(4, 10)
	n.rounds(6)
	n.sent = 0
	n.round()
	within, between := 40*9, 4*2*3*2
	is.Equal(n.sent, within+between)
}

func TestHostThatFallsSilentIsForgottenEverywhere(t *testing.T) {
	is := is.New(t)
	n := newNet(3, 4)
	n.rounds(6)
	n.hosts["h0-0"].down = true
	n.rounds(9) // its heartbeats are relayed once more at most
	for _, h := range n.hosts {
		if !h.down {
			is.Equal(len(h.tracker.Live(n.now)), 11)
			is.Equal(h.greeter.Others(n.now).Demands[1], 10.0) // its demand does not go round for ever
		}
	}
}

func TestZoneThatIsCutOffKnowsItself(t *testing.T) {
	is := is.New(t)
	n := newNet(3, 4)
	n.rounds(6)
	n.lost = func(from, to string) bool { return (n.hosts[from].zone == "z0") != (n.hosts[to].zone == "z0") }
	n.rounds(9)
	is.Equal(len(n.hosts["h0-0"].tracker.Live(n.now)), 4)
	is.Equal(len(n.hosts["h1-0"].tracker.Live(n.now)), 8)
	n.lost = func(string, string) bool { return false }
	n.rounds(6)
	is.Equal(len(n.hosts["h0-0"].tracker.Live(n.now)), 12)
}

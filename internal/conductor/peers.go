package conductor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	maxDatagram = 60 << 10               // bytes
	outageLife  = time.Minute            // outages are told for so long: registrations come back in seconds
	askTimeout  = 800 * time.Millisecond // for another host's objects
	behindFor   = time.Second            // a watch that others are ahead of for so long is silent: it pauses 0.7 s after changes, and a slow store takes 0.24 s
)

// greet sends the heartbeats that are due.
func (l *loop) greet(now time.Duration) {
	l.later = nil
	l.post(now, l.greeter.Letters(now))
}

// greetSome sends half of the heartbeats that are due, and the others a tick
// later: what one host sends at once must fit into the queue of its link.
func (l *loop) greetSome(now time.Duration) {
	var first []greeter.Letter
	l.later = nil
	l.greeter.Round(now, l.evidence(now))
	for i, letter := range l.greeter.Letters(now) {
		if i%2 == 0 {
			first = append(first, letter)
		} else {
			l.later = append(l.later, letter)
		}
	}
	l.post(now, first)
}

// greetRest sends the heartbeats that the tick before left over.
func (l *loop) greetRest(now time.Duration) {
	if len(l.later) > 0 {
		l.post(now, l.later)
		l.later = nil
	}
}

func (l *loop) post(now time.Duration, letters []greeter.Letter) {
	load := l.load()
	made := map[audience]*peerv1.Greeting{}
	for _, letter := range letters {
		to := audience{letter.Foreign, letter.Full}
		if made[to] == nil {
			made[to] = l.greeting(now, to, load)
		}
		made[to].Evidence = messenger.EncodeEvidence(l.greeter.Evidence(letter))
		l.conductor.send(letter.Control, made[to])
	}
}

// audience is hosts that are told the same at one time, but for evidence.
type audience struct {
	foreign bool // in other zones
	full    bool // that need whole heartbeats
}

// announce tells the hosts of the own zone at once of changes in the store.
func (l *loop) announce(now time.Duration) {
	if !l.watching {
		return
	}
	var near []greeter.Letter
	for _, letter := range l.greeter.Letters(now) {
		if !letter.Foreign {
			near = append(near, letter)
		}
	}
	l.post(now, near)
}

func (l *loop) greeting(now time.Duration, to audience, load greeter.Load) *peerv1.Greeting {
	m := &peerv1.Greeting{
		Digest:    l.greeter.Digest(now),
		Watching:  l.watching,
		StoreLost: l.outage(now),
		Blind:     l.blind(),
		Records:   messenger.EncodeRecords(l.greeter.Records(now, load, to.foreign)),
	}
	if since := now - l.outageAt; l.outageAt > 0 && since < outageLife {
		m.LostBefore = uint32(since.Milliseconds()) + 1
	}
	for _, kind := range l.order {
		revision := int64(0)
		if t := l.tables[kind]; t.known {
			revision = t.revision
		}
		m.Positions = append(m.Positions, revision)
	}
	beats := l.tracker.Beats(now)
	m.Sender = beats[0].ID.Incarnation
	if !to.full && (to.foreign || !l.greeter.OnDuty(now)) {
		beats = l.ownZone(beats) // of other zones hosts hear from those on duty
	}
	if to.full {
		m.Beats = messenger.EncodeBeats(beats)
		return m
	}
	pulses := make([]tracker.Pulse, 0, len(beats))
	for _, b := range beats {
		pulses = append(pulses, tracker.Pulse{Incarnation: b.ID.Incarnation, Counter: b.Counter, State: b.State})
	}
	m.Pulses = messenger.EncodePulses(pulses)
	return m
}

func (l *loop) ownZone(beats []tracker.Beat) []tracker.Beat {
	var own []tracker.Beat
	for _, b := range beats {
		if b.Zone == l.conductor.settings.Zone {
			own = append(own, b)
		}
	}
	return own
}

// send sends a datagram to the host with a control address.
func (c *Conductor) send(control string, m *peerv1.Greeting) {
	address, err := netip.ParseAddrPort(control)
	if err != nil {
		klog.InfoS("host has no address", "control", control)
		return
	}
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		klog.ErrorS(err, "greeting could not be sent", "bytes", len(data))
		return
	}
	peer := netip.AddrPortFrom(address.Addr(), uint16(c.settings.PeerPort))
	// A datagram that is lost is followed by the next one.
	_, _ = c.udp.WriteToUDPAddrPort(data, peer)
}

// receive takes in greetings until the context ends.
func (c *Conductor) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := c.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was refused
		}
		m := &peerv1.Greeting{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			klog.InfoS("datagram ignored", "bytes", n, "cause", err.Error())
			continue
		}
		c.loop.send(&greeted{m})
	}
}

// greeted is a greeting of another host.
type greeted struct{ *peerv1.Greeting }

func (m *greeted) apply(l *loop, now time.Duration) {
	before := len(l.tracker.Live(now))
	l.tracker.Heard(now, messenger.DecodeBeats(m.GetBeats())...)
	l.tracker.HeardPulses(now, messenger.DecodePulses(m.GetPulses()))
	if l.tracker.Superseded() {
		// The platform runs one process of a host at a time: the other one is
		// an earlier run, from before the clock was set back.
		l.tracker.Renew()
		klog.InfoS("incarnation renewed", "host", l.conductor.settings.Host)
	}
	host, known := l.tracker.FindRun(now, m.GetSender())
	if !known {
		return // it learns by the digest that this host needs whole heartbeats
	}
	l.greeter.Heard(now, host.ID.Name, host.Zone, m.GetDigest(), messenger.DecodeRecords(m.GetRecords()))
	l.greeter.SetBlind(host.ID.Name, m.GetBlind())
	l.learnEvidence(now, host.Zone, messenger.DecodeEvidence(m.GetEvidence()))
	for i, revision := range m.GetPositions() {
		if i < len(l.order) {
			l.tables[l.order[i]].heard(now, revision, host.Control)
		}
	}
	if m.GetWatching() && !m.GetStoreLost() {
		before := outageLife
		if ms := m.GetLostBefore(); ms > 0 {
			before = time.Duration(ms) * time.Millisecond
		}
		l.registrar.StoreFine(now-before, now)
	}
	if m.GetWatching() && host.Zone == l.conductor.settings.Zone {
		l.served(now, m.GetStoreLost())
	}
	if after := len(l.tracker.Live(now)); after != before {
		klog.InfoS("hosts live", "hosts", after, "heardFrom", host.ID.Name)
		l.share(now)
	}
	l.askPeers(now)
}

// outage reports whether the store is away, and not from this host alone.
func (l *loop) outage(now time.Duration) bool {
	if !l.tables[l.kinds.Servers].lost || l.registrar.Private(now) {
		return false
	}
	l.outageAt = now
	return true
}

// blind reports whether this host watches the store without an answer.
func (l *loop) blind() bool {
	for _, t := range l.tables {
		if l.watching && t.lost {
			return true
		}
	}
	return false
}

// served takes in that another host of the zone watches the store.
func (l *loop) served(now time.Duration, lost bool) {
	l.servedAt = now
	if l.watching {
		return
	}
	if lost {
		l.outageAt = now
		l.registrar.StoreLost(now)
	} else {
		l.registrar.StoreRegained(now)
	}
}

// askPeers gets from another host what the store does not tell this one.
func (l *loop) askPeers(now time.Duration) {
	ask := map[string][]*peerv1.Position{}
	for kind, t := range l.tables {
		if t.ahead <= t.upTo() {
			continue
		}
		if !l.watching || t.lost || !t.known {
			ask[t.aheadHost] = append(ask[t.aheadHost], &peerv1.Position{Kind: kind, Revision: t.upTo()})
		} else if t.behind(now) {
			klog.InfoS("watch is behind", "kind", kind, "revision", t.revision, "others", t.ahead)
			t.aheadSince = now
			l.followers[kind].Nudge()
		}
	}
	if l.asking || len(ask) == 0 {
		return
	}
	hosts := make([]string, 0, len(ask))
	for host := range ask {
		hosts = append(hosts, host)
	}
	host := hosts[rand.IntN(len(hosts))]
	l.asking = true
	go l.ask(host, ask[host])
}

func (l *loop) ask(host string, positions []*peerv1.Position) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	resp, err := l.conductor.messenger.Peer(host).Objects(ctx, connect.NewRequest(&peerv1.ObjectsRequest{Known: positions}))
	m := &told{host: host, err: err}
	if err == nil {
		m.tables = resp.Msg.GetTables()
	}
	l.send(m)
}

// told is what another host knows of the store.
type told struct {
	host   string
	tables []*peerv1.ObjectTable
	err    error
}

func (m *told) apply(l *loop, now time.Duration) {
	l.asking = false
	if m.err != nil {
		klog.InfoS("host did not tell of the store", "host", m.host, "cause", m.err.Error())
		for _, t := range l.tables {
			if t.aheadHost == m.host {
				t.ahead = 0 // the next greeting names another host
			}
		}
		return
	}
	for _, wire := range m.tables {
		t := l.tables[wire.GetKind()]
		if t == nil || l.watching && !t.lost && t.known || wire.GetRevision() <= t.upTo() {
			continue
		}
		l.learn(now, t, wire)
	}
	l.askPeers(now)
}

// learn takes in what another host knows of a kind.
func (l *loop) learn(now time.Duration, t *table, wire *peerv1.ObjectTable) {
	objects := messenger.DecodeTable(wire)
	klog.V(1).InfoS("objects learned from host", "kind", t.kind, "from", t.revision,
		"revision", objects.Revision(), "objects", len(objects.Items()), "changes", wire.GetChanges())
	changes := wire.GetChanges() && t.known
	t.learn(objects, wire.GetComplete(), changes)
	if changes {
		l.changed(now, t.kind, &objects)
		return
	}
	l.changed(now, t.kind, nil)
}

// peerService answers other hosts.
type peerService struct {
	peerv1connect.UnimplementedPeerServiceHandler
	conductor *Conductor
}

// Objects returns the kinds that this host has followed further.
func (p *peerService) Objects(ctx context.Context, req *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	m := &asked{known: req.Msg.GetKnown(), answer: make(chan []*peerv1.ObjectTable, 1)}
	p.conductor.loop.send(m)
	select {
	case tables := <-m.answer:
		return connect.NewResponse(&peerv1.ObjectsResponse{Tables: tables}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// Charge takes one request off the part of a limit that this host holds.
func (p *peerService) Charge(_ context.Context, req *connect.Request[peerv1.ChargeRequest]) (*connect.Response[peerv1.ChargeResponse], error) {
	allowed, wait := p.conductor.divider.Take(p.conductor.clock.Now(), req.Msg.GetLimit())
	return connect.NewResponse(&peerv1.ChargeResponse{Allowed: allowed, Wait: uint32(wait.Milliseconds())}), nil
}

// asked is another host's question.
type asked struct {
	known  []*peerv1.Position
	answer chan []*peerv1.ObjectTable
}

func (m *asked) apply(l *loop, _ time.Duration) {
	var tables []*peerv1.ObjectTable
	for _, p := range m.known {
		if t := l.tables[p.GetKind()]; t != nil && t.known && t.revision > p.GetRevision() {
			objects, changes := t.since(p.GetRevision())
			tables = append(tables, messenger.EncodeTable(t.kind, objects, t.complete, changes))
		}
	}
	m.answer <- tables
}

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

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	maxDatagram = 60 << 10               // bytes
	askTimeout  = 800 * time.Millisecond // for another host's objects
	behindFor   = 400 * time.Millisecond // a watch that others are ahead of for so long is silent; a slow store takes 240 ms
)

// greet sends the heartbeats that are due.
func (l *loop) greet(now time.Duration) {
	for _, letter := range l.greeter.Letters(now) {
		l.conductor.send(letter.Control, l.greeting(now, letter))
	}
}

func (l *loop) greeting(now time.Duration, letter greeter.Letter) *peerv1.Greeting {
	m := &peerv1.Greeting{
		Digest:  l.tracker.Digest(now),
		Records: messenger.EncodeRecords(l.greeter.Records(now, l.conductor.divider.Demand(), letter.Foreign)),
	}
	for kind, t := range l.tables {
		if t.known {
			m.Positions = append(m.Positions, &peerv1.Position{Kind: kind, Revision: t.revision})
		}
	}
	beats := l.tracker.Beats(now)
	m.Sender = messenger.EncodeID(beats[0].ID)
	if letter.Foreign && !letter.Full {
		beats = l.ownZone(beats)
	}
	if letter.Full {
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
	from := messenger.DecodeID(m.GetSender())
	host, known := l.tracker.Find(now, from)
	if !known {
		l.greetBack(now, m)
		return
	}
	l.greeter.Heard(now, from.Name, host.Zone, m.GetDigest(), messenger.DecodeRecords(m.GetRecords()))
	for _, p := range m.GetPositions() {
		if t := l.tables[p.GetKind()]; t != nil {
			t.heard(now, p.GetRevision(), host.Control)
		}
	}
	if len(l.tracker.Live(now)) != before {
		klog.InfoS("hosts live", "hosts", len(l.tracker.Live(now)), "heardFrom", from.Name)
		l.share(now)
	}
}

// greetBack answers a host that is not known yet: its pulses name nobody.
func (l *loop) greetBack(now time.Duration, m *greeted) {
	if m.GetSender().GetName() == l.conductor.settings.Host {
		return
	}
	l.greeter.Forget(m.GetSender().GetName())
}

// heard takes in how far another host has followed the kind.
func (t *table) heard(now time.Duration, revision int64, control string) {
	if revision <= t.revision {
		return
	}
	if t.ahead <= t.revision {
		t.aheadSince = now
	}
	if revision > t.ahead {
		t.ahead = revision
		t.aheadHost = control
	}
}

// behind reports whether others have been ahead for a while.
func (t *table) behind(now time.Duration) bool {
	return t.ahead > t.revision && now-t.aheadSince >= behindFor
}

// askPeers gets from another host what the store does not tell this one.
func (l *loop) askPeers(now time.Duration) {
	ask := map[string][]*peerv1.Position{}
	for kind, t := range l.tables {
		if t.ahead <= t.revision {
			continue
		}
		if t.lost || !t.known {
			ask[t.aheadHost] = append(ask[t.aheadHost], &peerv1.Position{Kind: kind, Revision: t.revision})
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
		if t == nil || (!t.lost && t.known) || wire.GetRevision() <= t.revision {
			continue
		}
		all := messenger.DecodeTable(wire)
		t.replace(all)
		t.revision = max(t.revision, all.Revision())
		klog.InfoS("objects learned from host", "host", m.host, "kind", wire.GetKind(),
			"revision", all.Revision(), "objects", len(all.Items()))
		l.changed(now, wire.GetKind(), nil)
	}
}

// peerService answers other hosts.
type peerService struct {
	peerv1connect.UnimplementedPeerServiceHandler
	conductor *Conductor
}

// Objects returns the kinds that this host has followed further.
func (p *peerService) Objects(ctx context.Context, req *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	m := &asked{known: req.Msg.GetKnown(), answer: make(chan map[string]keeper.Table, 1)}
	p.conductor.loop.send(m)
	select {
	case tables := <-m.answer:
		resp := &peerv1.ObjectsResponse{}
		for kind, t := range tables {
			resp.Tables = append(resp.Tables, messenger.EncodeTable(kind, t))
		}
		return connect.NewResponse(resp), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// asked is another host's question.
type asked struct {
	known  []*peerv1.Position
	answer chan map[string]keeper.Table
}

func (m *asked) apply(l *loop, _ time.Duration) {
	tables := map[string]keeper.Table{}
	for _, p := range m.known {
		if t := l.tables[p.GetKind()]; t != nil && t.known && t.revision > p.GetRevision() {
			tables[p.GetKind()] = t.all()
		}
	}
	m.answer <- tables
}

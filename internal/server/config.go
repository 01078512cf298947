package server

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/router"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/steerer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const fetchTimeout = 3 * time.Second

// headSeen is a configuration head read from the store.
type headSeen struct {
	head watcher.Head
	sent time.Duration // when the reading began
}

func (m *headSeen) apply(l *loop, now time.Duration) {
	l.storeAnswered(now, nil)
	l.confirmConfig(m.sent)
	l.offerHead(m.head)
}

// headUnchanged is a watch that ended without a change.
type headUnchanged struct {
	sent time.Duration
}

func (m *headUnchanged) apply(l *loop, now time.Duration) {
	l.storeAnswered(now, nil)
	l.confirmConfig(m.sent)
}

// storeFailed is a call to the store that did not succeed.
type storeFailed struct {
	err error
}

func (m *storeFailed) apply(l *loop, now time.Duration) { l.storeAnswered(now, m.err) }

// storeAnswered notes whether the store can be reached.
func (l *loop) storeAnswered(now time.Duration, err error) {
	up := err == nil
	if up {
		l.storeNews = now
	}
	if up == l.storeUp {
		return
	}
	l.storeUp = up
	text := "reachable"
	if !up {
		text = "not reachable: " + err.Error()
	}
	l.event(recorder.StoreState, "store", text)
}

// advance puts the pending configuration into force, or fetches what it lacks.
func (l *loop) advance() {
	missing := l.watcher.Missing()
	if len(missing) > 0 {
		l.fetch(missing)
		return
	}
	previous := l.watcher.Catalog()
	changed, err := l.watcher.Advance()
	if err != nil {
		l.event(recorder.ConfigAdopted, "refused", err.Error())
		return
	}
	if changed {
		l.adoptConfig(previous)
	}
}

// fetch gets files from the other hosts, and from the store what they lack.
func (l *loop) fetch(hashes []string) {
	if l.fetching {
		return
	}
	l.fetching = true
	var peers []string
	for _, host := range l.tracker.Live(l.server.clock.Now()) {
		if host.ID != l.server.id {
			peers = append(peers, host.Control)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		l.send(&fetched{files: l.server.fetchFiles(ctx, hashes, peers)})
	}()
}

const fetchPeers = 2 // hosts asked before the store

func (s *Server) fetchFiles(ctx context.Context, hashes, peers []string) map[string]parser.Document {
	files := map[string]parser.Document{}
	for _, address := range peers[:min(len(peers), fetchPeers)] {
		resp, err := s.messenger.Peer(address).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Hashes: hashes}))
		if err != nil {
			continue
		}
		for _, file := range resp.Msg.GetFiles() {
			doc := parser.NewDocument(file.GetName(), file.GetData())
			files[doc.Hash()] = doc
		}
	}
	for _, hash := range hashes {
		if _, have := files[hash]; have {
			continue
		}
		if doc, err := publisher.FetchFile(ctx, s.store, hash); err == nil {
			files[hash] = doc
		}
	}
	return files
}

// fetched is the end of a fetch.
type fetched struct {
	files map[string]parser.Document
}

func (m *fetched) apply(l *loop, _ time.Duration) {
	l.fetching = false
	for hash, doc := range m.files {
		l.watcher.Provide(hash, doc)
	}
	if len(m.files) > 0 {
		l.advance()
	}
}

// adoptConfig makes the request path use a new configuration.
func (l *loop) adoptConfig(previous *cataloger.Catalog) {
	s := l.server
	now := s.clock.Now()
	catalog := l.watcher.Catalog()
	head := l.watcher.Head()
	s.sharer.SetLimits(now, catalog.Generation(), limits(catalog))
	pools := map[string]*pool{}
	old := s.snapshot.Load().pools
	for _, service := range catalog.Services() {
		p := old[service.Name()]
		if p == nil {
			p = newPool(s.clock, router.New(service.Name(), s.settings.Host().Zone(),
				s.backendChart, s.sharer, s.id.Incarnation))
		}
		p.update(catalog, service)
		pools[service.Name()] = p
	}
	next := *s.snapshot.Load()
	next.catalog = catalog
	next.table = admitter.NewTable(catalog)
	next.pools = pools
	next.blocks = steerer.BuildBlocks(catalog.Sites())
	if l.fire("configured") {
		l.tracker.SetState(tracker.Serving)
		next.phase = serving
	}
	s.snapshot.Store(&next)
	l.event(recorder.ConfigAdopted, strconv.FormatInt(head.Generation, 10),
		fmt.Sprintf("change %s by %s", head.ChangeID, head.Author))
	l.noteWithdrawn(previous, catalog)
	l.rebuildLookup(now)
	// Hand it on at once.
	l.exchangeAll(now)
	klog.InfoS("configuration in force", "host", s.id.Name, "generation", head.Generation)
}

func (l *loop) noteWithdrawn(previous, catalog *cataloger.Catalog) {
	if previous == nil {
		return
	}
	for _, key := range previous.Keys() {
		if catalog.Key(key.Hash()) == nil {
			l.event(recorder.KeyWithdrawn, key.ID(), "of workspace "+key.Workspace())
		}
	}
}

// limits returns all limits that hosts share under a configuration.
func limits(catalog *cataloger.Catalog) []sharer.Limit {
	var list []sharer.Limit
	for _, w := range catalog.Workspaces() {
		list = append(list, sharer.NewRate(admitter.LimitName(w.Name()), w.Rate(), w.Burst()))
	}
	for _, service := range catalog.Services() {
		slots := map[string]int64{}
		for _, server := range service.BackendServers() {
			slots[server.Zone()] += int64(server.Slots())
		}
		for zone, n := range slots {
			list = append(list, sharer.NewLevel(router.LimitName(service.Name(), zone), zone, n))
		}
	}
	return list
}

// rebuildLookup makes the look-up answers from the live hosts.
func (l *loop) rebuildLookup(now time.Duration) {
	s := l.server
	catalog := l.watcher.Catalog()
	live := l.tracker.Live(now)
	l.sharePeers(live)
	if catalog == nil {
		return
	}
	var zones []string
	for _, region := range catalog.Regions() {
		zones = append(zones, region.Zones()...)
	}
	distance := func(from, to string) time.Duration { return catalog.Distance(from, to) }
	next := *s.snapshot.Load()
	next.lookup = steerer.Build(zones, live, distance, s.settings.Lookup().TTL())
	s.snapshot.Store(&next)
}

// sharePeers tells the borrower whom to ask: own zone first, then the others.
func (l *loop) sharePeers(live []tracker.Host) {
	var near, far []tracker.Host
	for _, host := range live {
		switch {
		case host.ID == l.server.id:
		case host.Zone == l.server.settings.Host().Zone():
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	l.server.borrower.setPeers(append(near, far...))
}

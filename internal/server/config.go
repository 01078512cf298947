package server

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/router"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/steerer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const fetchTimeout = 3 * time.Second

// headRead is the message that a configuration head was read from the store.
type headRead struct {
	head activator.Head
	sent time.Duration // time at which the read was sent
}

func (m *headRead) apply(l *loop, now time.Duration) {
	l.recordStoreResult(now, nil)
	l.confirmConfig(m.sent)
	l.applyHead(m.head)
}

// headUnchanged is the message that a watch of the configuration head ended
// without a change.
type headUnchanged struct {
	sent time.Duration
}

func (m *headUnchanged) apply(l *loop, now time.Duration) {
	l.recordStoreResult(now, nil)
	l.confirmConfig(m.sent)
}

// storeFailed is the message that a call to the store failed.
type storeFailed struct {
	err error
}

func (m *storeFailed) apply(l *loop, now time.Duration) { l.recordStoreResult(now, m.err) }

// recordStoreResult records whether the last call to the store succeeded, which
// is when err is nil, and records an event when that changed.
func (l *loop) recordStoreResult(now time.Duration, err error) {
	reachable := err == nil
	if reachable {
		l.lastStoreContact = now
	}
	if reachable == l.storeReachable {
		return
	}
	l.storeReachable = reachable
	text := "reachable"
	if !reachable {
		text = "not reachable: " + err.Error()
	}
	l.recordEvent(recorder.StoreState, "store", text)
}

// advanceConfig applies the pending configuration, or fetches the files that
// are missing for it.
func (l *loop) advanceConfig() {
	missing := l.activator.MissingFiles()
	if len(missing) > 0 {
		l.startFetch(missing)
		return
	}
	previous := l.activator.Catalog()
	changed, err := l.activator.Activate()
	if err != nil {
		l.recordEvent(recorder.ConfigApplied, "refused", err.Error())
		return
	}
	if changed {
		l.applyConfig(previous)
	}
}

// startFetch fetches configuration files in the background. It does nothing
// while another fetch is in progress.
func (l *loop) startFetch(hashes []string) {
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
		l.send(&filesFetched{files: l.server.fetchFiles(ctx, hashes, peers)})
	}()
}

const maxFetchPeers = 2 // hosts to ask before the store

// fetchFiles returns configuration files by hash, from peers or, for files that
// no peer returned, from the store. Files that could not be fetched are missing
// from the result.
func (s *Server) fetchFiles(ctx context.Context, hashes, peers []string) map[string]parser.Document {
	files := map[string]parser.Document{}
	for _, address := range peers[:min(len(peers), maxFetchPeers)] {
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
		if _, found := files[hash]; found {
			continue
		}
		if doc, err := publisher.FetchFile(ctx, s.store, hash); err == nil {
			files[hash] = doc
		}
	}
	return files
}

// filesFetched is the message that a fetch has finished, with the files by
// hash.
type filesFetched struct {
	files map[string]parser.Document
}

func (m *filesFetched) apply(l *loop, _ time.Duration) {
	l.fetching = false
	for hash, doc := range m.files {
		l.activator.AddFile(hash, doc)
	}
	if len(m.files) > 0 {
		l.advanceConfig()
	}
}

// applyConfig makes the request path use the activator's new configuration. The
// previous one is nil when there was none.
func (l *loop) applyConfig(previous *cataloger.Catalog) {
	s := l.server
	now := s.clock.Now()
	catalog := l.activator.Catalog()
	head := l.activator.Head()
	s.sharer.SetLimits(now, catalog.Generation(), sharedLimits(catalog))
	pools := map[string]*pool{}
	oldPools := s.snapshot.Load().pools
	for _, service := range catalog.Services() {
		p := oldPools[service.Name()]
		if p == nil {
			p = newPool(s.clock, router.New(service.Name(), s.settings.Host().Zone(),
				s.backendChart, s.sharer, s.id.Incarnation))
		}
		p.update(catalog, service)
		pools[service.Name()] = p
	}
	next := *s.snapshot.Load()
	next.catalog = catalog
	next.keyTable = admitter.NewKeyTable(catalog)
	next.pools = pools
	next.blocks = steerer.BuildSiteTable(catalog.Sites())
	if l.fire("configured") {
		l.tracker.SetState(tracker.Serving)
		next.phase = serving
	}
	s.snapshot.Store(&next)
	l.recordEvent(recorder.ConfigApplied, strconv.FormatInt(head.Generation, 10),
		fmt.Sprintf("change %s by %s", head.ChangeID, head.Author))
	l.recordWithdrawnKeys(previous, catalog)
	l.rebuildLookup(now)
	// Send the new configuration to the other hosts without waiting for the
	// next tick.
	l.exchangeAll(now)
	klog.InfoS("configuration applied", "host", s.id.Name, "generation", head.Generation)
}

// recordWithdrawnKeys records an event for each key that the new configuration
// no longer has.
func (l *loop) recordWithdrawnKeys(previous, catalog *cataloger.Catalog) {
	if previous == nil {
		return
	}
	for _, key := range previous.Keys() {
		if catalog.Key(key.Hash()) == nil {
			l.recordEvent(recorder.KeyWithdrawn, key.ID(), "of workspace "+key.Workspace())
		}
	}
}

// sharedLimits returns all limits of a configuration that hosts share: the rate
// of each workspace, and the slots of each service in each zone.
func sharedLimits(catalog *cataloger.Catalog) []sharer.Limit {
	var list []sharer.Limit
	for _, w := range catalog.Workspaces() {
		list = append(list, sharer.NewRate(admitter.LimitName(w.Name()), w.Rate(), w.Burst()))
	}
	for _, service := range catalog.Services() {
		slots := map[string]int64{}
		for _, server := range service.BackendServers() {
			slots[server.Zone()] += int64(server.Slots())
		}
		for zone, zoneSlots := range slots {
			list = append(list, sharer.NewConcurrency(router.LimitName(service.Name(), zone), zone, zoneSlots))
		}
	}
	return list
}

// rebuildLookup builds the look-up responses from the live hosts, and updates
// the peers of the borrower.
func (l *loop) rebuildLookup(now time.Duration) {
	s := l.server
	catalog := l.activator.Catalog()
	live := l.tracker.Live(now)
	l.updateBorrowerPeers(live)
	if catalog == nil {
		return
	}
	var zones []string
	for _, region := range catalog.Regions() {
		zones = append(zones, region.Zones()...)
	}
	distance := func(from, to string) time.Duration { return catalog.Distance(from, to) }
	next := *s.snapshot.Load()
	next.lookup = steerer.BuildHostTable(zones, live, distance, s.settings.Lookup().TTL())
	s.snapshot.Store(&next)
}

// updateBorrowerPeers sets the hosts that the borrower may ask: those in the
// own zone first, then the others.
func (l *loop) updateBorrowerPeers(live []tracker.Host) {
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

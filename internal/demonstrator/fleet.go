package demonstrator

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/server"
	"magnoliahill.example/magnoliahill/internal/standin/backend"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
)

const (
	hostLag   = time.Second // of the platform's host list
	lease     = 3 * time.Second
	drift     = 200 * time.Millisecond
	heartbeat = 200 * time.Millisecond
	silence   = time.Second
	lookupTTL = time.Second
)

// target is one running backend server.
type target struct {
	service string
	name    string
	zone    string
	address string
	slots   int
	backend *backend.Backend
	http    *http.Server
	leaving bool
}

// entryHost is one running entry host.
type entryHost struct {
	name   string
	zone   string
	data   string
	server *server.Server
	cancel context.CancelFunc
	gone   bool
}

// fleet is everything that runs.
type fleet struct {
	layout   Layout
	links    *links
	auditor  *auditor
	platform *platform.Platform
	store    *keeper.Client
	url      string
	keys     map[string]map[string]string // workspace to key id to key
	mu       sync.Mutex
	targets  []*target
	hosts    []*entryHost
	closers  []func()
}

// newFleet starts the platform, the backend servers and the hosts, and puts the
// layout's configuration into force.
func newFleet(ctx context.Context, layout Layout) (*fleet, error) {
	f := &fleet{
		layout: layout, links: newLinks(layout), auditor: newAuditor(),
		keys: map[string]map[string]string{},
	}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	for _, service := range layout.services {
		for i := range service.targets {
			if err := f.startTarget(service, i); err != nil {
				return nil, err
			}
		}
	}
	if err := f.publishAll(ctx); err != nil {
		return nil, err
	}
	for i := range layout.hosts {
		if err := f.startHost(fmt.Sprintf("host-%d", i+1), layout.zoneOf(i)); err != nil {
			return nil, err
		}
	}
	return f, f.awaitServing(ctx)
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (f *fleet) serve(handler http.Handler, state func(net.Conn, http.ConnState)) (string, *http.Server, error) {
	l, err := listen()
	if err != nil {
		return "", nil, errors.Wrap(err, "loopback address could not be opened")
	}
	s := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), s, nil
}

func (f *fleet) startPlatform() error {
	f.platform = platform.New(platform.WithHostLag(hostLag))
	address, _, err := f.serve(f.platform, nil)
	if err != nil {
		return err
	}
	f.url = "http://" + address
	f.links.place(address, f.layout.zoneNames()[0])
	f.store = keeper.New(f.url)
	return nil
}

func (f *fleet) startTarget(service serviceLayout, i int) error {
	t := &target{
		service: service.name, name: fmt.Sprintf("%s-%d", service.name, i+1),
		zone: f.layout.zoneOf(i), slots: service.slots,
	}
	t.backend = backend.New(t.name, backend.WithSlots(service.slots),
		backend.WithConnections(f.layout.connections), backend.WithServiceTime(service.takes))
	var err error
	t.address, t.http, err = f.serve(t.backend, t.backend.ConnState)
	if err != nil {
		return err
	}
	f.links.place(t.address, t.zone)
	f.targets = append(f.targets, t)
	return nil
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (f *fleet) startHost(name, zone string) error {
	data, err := freeAddress()
	if err != nil {
		return err
	}
	control, err := freeAddress()
	if err != nil {
		return err
	}
	settings, err := loader.Parse(name+".yaml", []byte(f.settingsFile(name, zone, data, control)))
	if err != nil {
		return err
	}
	f.links.place(data, zone)
	f.links.place(control, zone)
	cut := func(address string) bool { return f.links.isCut(zone, address) }
	store := keeper.New(f.url, keeper.WithTimeout(settings.Platform().Timeout()),
		keeper.WithWait(settings.Platform().WatchWait()),
		keeper.WithTransport(f.links.around(zone)(&http.Transport{})))
	s, err := server.New(settings,
		server.WithStore(store),
		server.WithMessenger(messenger.New(messenger.WithCut(cut))),
		server.WithForwarder(forwarder.New(forwarder.WithLink(f.links.around(zone)))),
		server.WithAuditor(f.auditor))
	if err != nil {
		return err
	}
	if err := s.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, &entryHost{name: name, zone: zone, data: data, server: s, cancel: cancel})
	f.platform.SetHost(platform.Host{ID: name, Address: control, Zone: zone, State: "live"})
	return nil
}

func (f *fleet) settingsFile(name, zone, data, control string) string {
	return fmt.Sprintf(`host: {name: %s, zone: %s}
listen: {data: "%s", control: "%s"}
platform: {url: "%s", timeout: 1s, watch-wait: 5s, hosts-poll: 500ms}
membership: {heartbeat: %s, silence: %s}
shares: {lease: %s, drift: %s, floor: %g, fleet-hosts: %d}
lookup: {ttl: %s}
stop: {quiet: 500ms}
`, name, zone, data, control, f.url, heartbeat, silence, lease, drift, f.layout.floor, f.layout.hosts, lookupTTL)
}

func (f *fleet) publishAll(ctx context.Context) error {
	edits := map[string]func([]byte) ([]byte, error){
		"topology.yaml": publisher.Replace([]byte(f.layout.topologyFile())),
	}
	for _, service := range f.layout.services {
		edits[service.name+".yaml"] = publisher.Replace([]byte(f.serviceFile(service)))
	}
	for _, w := range f.layout.workspaces {
		f.keys[w.name] = map[string]string{w.name + "-1": rand.Text(), w.name + "-2": rand.Text()}
		edits[w.name+".yaml"] = publisher.Replace([]byte(f.layout.workspaceFile(w)))
		edits[parser.KeysFile(w.name)] = publisher.Replace(keysFile(w.name, f.keys[w.name]))
	}
	_, err := publisher.New(f.store).Publish(ctx, publisher.Change{Author: "demo", Edits: edits})
	return errors.Wrap(err, "configuration could not be published")
}

func (f *fleet) serviceFile(service serviceLayout) string {
	text := fmt.Sprintf("kind: service\nservice: %s\nclass: %s\nopen-routes: [/open]\ncold-start: 2s\nbackend-servers:\n", service.name, service.class)
	for _, t := range f.targets {
		if t.service == service.name {
			text += fmt.Sprintf("  - {name: %s, address: \"%s\", zone: %s, slots: %d, connections: %d, leaving: %t}\n",
				t.name, t.address, t.zone, t.slots, f.layout.connections, t.leaving)
		}
	}
	return text
}

// publishService puts the present list of a service's targets into force.
func (f *fleet) publishService(ctx context.Context, name string) error {
	for _, service := range f.layout.services {
		if service.name == name {
			_, err := publisher.New(f.store).Publish(ctx, publisher.Change{
				Author: "demo",
				Edits: map[string]func([]byte) ([]byte, error){
					name + ".yaml": publisher.Replace([]byte(f.serviceFile(service))),
				},
			})
			return err
		}
	}
	return errors.Errorf("service %q does not exist", name)
}

// withdraw takes a key out of force.
func (f *fleet) withdraw(ctx context.Context, workspace, id string) error {
	keys := map[string]string{}
	for other, key := range f.keys[workspace] {
		if other != id {
			keys[other] = key
		}
	}
	_, err := publisher.New(f.store).Publish(ctx, publisher.Change{
		Author: "demo",
		Edits: map[string]func([]byte) ([]byte, error){
			parser.KeysFile(workspace): publisher.Replace(keysFile(workspace, keys)),
		},
	})
	return err
}

func (f *fleet) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		ready := 0
		for _, host := range f.liveHosts() {
			if host.server.Ready() {
				ready++
			}
		}
		if ready == len(f.liveHosts()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%d of %d hosts are ready", ready, len(f.liveHosts()))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *fleet) liveHosts() []*entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*entryHost
	for _, host := range f.hosts {
		if !host.gone {
			live = append(live, host)
		}
	}
	return live
}

// host returns a live host in a zone.
func (f *fleet) host(zone string) *entryHost {
	for _, host := range f.liveHosts() {
		if host.zone == zone {
			return host
		}
	}
	return nil
}

// stopHost stops a host as planned and waits for its end.
func (f *fleet) stopHost(host *entryHost) {
	f.platform.SetHost(platform.Host{ID: host.name, Zone: host.zone, State: "leaving"})
	host.server.Stop()
	<-host.server.Done()
	f.forget(host)
}

// killHost ends a host at once.
func (f *fleet) killHost(host *entryHost) {
	host.server.Kill()
	host.cancel()
	f.forget(host)
}

func (f *fleet) forget(host *entryHost) {
	f.mu.Lock()
	host.gone = true
	f.mu.Unlock()
	f.platform.RemoveHost(host.name)
}

func (f *fleet) seeds(zone string) []string {
	var near, far []string
	for _, host := range f.liveHosts() {
		if host.zone == zone {
			near = append(near, host.data)
		} else {
			far = append(far, host.data)
		}
	}
	return append(near, far...)
}

func (f *fleet) close() {
	var wait sync.WaitGroup
	for _, host := range f.liveHosts() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			host.server.Kill()
			host.cancel()
		}()
	}
	wait.Wait()
	for _, c := range f.closers {
		c()
	}
}

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
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/server"
	"magnoliahill.example/magnoliahill/internal/standin/backend"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
	"magnoliahill.example/magnoliahill/internal/storer"
)

// Settings of the hosts and the platform.
const (
	hostListLag       = time.Second // delay of the platform's host list
	shareLease        = 3 * time.Second
	clockDrift        = 200 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = time.Second
	lookupTTL         = time.Second
)

// backendServer is one running backend server.
type backendServer struct {
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
	name        string
	zone        string
	dataAddress string
	server      *server.Server
	cancel      context.CancelFunc
	stopped     bool
}

// fleet holds the platform, the backend servers and the entry hosts.
type fleet struct {
	layout         Layout
	links          *links
	auditor        *auditor
	platform       *platform.Platform
	store          *storer.Client
	platformURL    string
	keys           map[string]map[string]string // keys by workspace and key ID
	mu             sync.Mutex
	backendServers []*backendServer
	hosts          []*entryHost
	closers        []func()
}

// newFleet starts the platform and the backend servers, publishes the layout's
// configuration, starts the hosts and waits until they are ready.
func newFleet(ctx context.Context, layout Layout) (*fleet, error) {
	f := &fleet{
		layout: layout, links: newLinks(layout), auditor: newAuditor(),
		keys: map[string]map[string]string{},
	}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	for _, service := range layout.services {
		for i := range service.backendServerCount {
			if err := f.startBackendServer(service, i); err != nil {
				return nil, err
			}
		}
	}
	if err := f.publishLayout(ctx); err != nil {
		return nil, err
	}
	for i := range layout.hosts {
		if err := f.startHost(fmt.Sprintf("host-%d", i+1), layout.zoneOf(i)); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady(ctx)
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// serve starts an HTTP server on a free loopback address and returns the address.
// The server is closed with the fleet.
func (f *fleet) serve(handler http.Handler, state func(net.Conn, http.ConnState)) (string, *http.Server, error) {
	l, err := listen()
	if err != nil {
		return "", nil, errors.Wrap(err, "failed to listen on a loopback address")
	}
	s := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), s, nil
}

func (f *fleet) startPlatform() error {
	f.platform = platform.New(platform.WithHostLag(hostListLag))
	address, _, err := f.serve(f.platform, nil)
	if err != nil {
		return err
	}
	f.platformURL = "http://" + address
	f.links.setZone(address, f.layout.zoneNames()[0])
	f.store = storer.New(f.platformURL)
	return nil
}

func (f *fleet) startBackendServer(service serviceLayout, i int) error {
	b := &backendServer{
		service: service.name, name: fmt.Sprintf("%s-%d", service.name, i+1),
		zone: f.layout.zoneOf(i), slots: service.slots,
	}
	b.backend = backend.New(b.name, backend.WithSlots(service.slots),
		backend.WithConnections(f.layout.connections), backend.WithServiceTime(service.serviceTime))
	var err error
	b.address, b.http, err = f.serve(b.backend, b.backend.ConnState)
	if err != nil {
		return err
	}
	f.links.setZone(b.address, b.zone)
	f.backendServers = append(f.backendServers, b)
	return nil
}

func (f *fleet) startHost(name, zone string) error {
	data, err := listen()
	if err != nil {
		return err
	}
	control, err := listen()
	if err != nil {
		return err
	}
	dataAddress, controlAddress := data.Addr().String(), control.Addr().String()
	settings, err := loader.Parse(name+".yaml", []byte(f.settingsFile(name, zone, dataAddress, controlAddress)))
	if err != nil {
		return err
	}
	f.links.setZone(dataAddress, zone)
	f.links.setZone(controlAddress, zone)
	cut := func(address string) bool { return f.links.isCut(zone, address) }
	store := storer.New(f.platformURL, storer.WithTimeout(settings.Platform().Timeout()),
		storer.WithWatchWait(settings.Platform().WatchWait()),
		storer.WithTransport(f.links.wrapTransport(zone)(&http.Transport{})))
	s, err := server.New(settings,
		server.WithStore(store),
		server.WithMessenger(messenger.New(messenger.WithPartition(cut))),
		server.WithForwarder(forwarder.New(forwarder.WithTransportWrapper(f.links.wrapTransport(zone)))),
		server.WithAuditor(f.auditor),
		server.WithListeners(data, control))
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
	f.hosts = append(f.hosts, &entryHost{name: name, zone: zone, dataAddress: dataAddress, server: s, cancel: cancel})
	f.platform.SetHost(platform.Host{ID: name, Address: controlAddress, Zone: zone, State: "live"})
	return nil
}

func (f *fleet) settingsFile(name, zone, dataAddress, controlAddress string) string {
	return fmt.Sprintf(`host: {name: %s, zone: %s}
listen: {data: "%s", control: "%s"}
platform: {url: "%s", timeout: 1s, watch-wait: 5s, hosts-poll: 500ms}
membership: {heartbeat: %s, silence: %s}
shares: {lease: %s, drift: %s, floor: %g, fleet-hosts: %d}
lookup: {ttl: %s}
stop: {quiet: 500ms}
`, name, zone, dataAddress, controlAddress, f.platformURL, heartbeatInterval, heartbeatTimeout, shareLease, clockDrift, f.layout.floor, f.layout.hosts, lookupTTL)
}

func (f *fleet) publishLayout(ctx context.Context) error {
	edits := map[string]func([]byte) ([]byte, error){
		"topology.yaml": publisher.ReplaceWith([]byte(f.layout.topologyFile())),
	}
	for _, service := range f.layout.services {
		edits[service.name+".yaml"] = publisher.ReplaceWith([]byte(f.serviceFile(service)))
	}
	for _, w := range f.layout.workspaces {
		f.keys[w.name] = map[string]string{w.name + "-1": rand.Text(), w.name + "-2": rand.Text()}
		edits[w.name+".yaml"] = publisher.ReplaceWith([]byte(f.layout.workspaceFile(w)))
		edits[parser.KeysFileName(w.name)] = publisher.ReplaceWith(keysFile(w.name, f.keys[w.name]))
	}
	_, err := publisher.New(f.store).Publish(ctx, publisher.Change{Author: "demo", Edits: edits})
	return errors.Wrap(err, "failed to publish the configuration")
}

func (f *fleet) serviceFile(service serviceLayout) string {
	text := fmt.Sprintf("kind: service\nservice: %s\nclass: %s\nopen-routes: [/open]\ncold-start: 2s\nbackend-servers:\n", service.name, service.class)
	for _, b := range f.backendServers {
		if b.service == service.name {
			text += fmt.Sprintf("  - {name: %s, address: \"%s\", zone: %s, slots: %d, connections: %d, leaving: %t}\n",
				b.name, b.address, b.zone, b.slots, f.layout.connections, b.leaving)
		}
	}
	return text
}

// publishService publishes the configuration of a service with the present state
// of its backend servers.
func (f *fleet) publishService(ctx context.Context, name string) error {
	for _, service := range f.layout.services {
		if service.name == name {
			_, err := publisher.New(f.store).Publish(ctx, publisher.Change{
				Author: "demo",
				Edits: map[string]func([]byte) ([]byte, error){
					name + ".yaml": publisher.ReplaceWith([]byte(f.serviceFile(service))),
				},
			})
			return err
		}
	}
	return errors.Errorf("service %q does not exist", name)
}

// withdrawKey publishes the keys of a workspace without one of them.
func (f *fleet) withdrawKey(ctx context.Context, workspace, id string) error {
	keys := map[string]string{}
	for other, key := range f.keys[workspace] {
		if other != id {
			keys[other] = key
		}
	}
	_, err := publisher.New(f.store).Publish(ctx, publisher.Change{
		Author: "demo",
		Edits: map[string]func([]byte) ([]byte, error){
			parser.KeysFileName(workspace): publisher.ReplaceWith(keysFile(workspace, keys)),
		},
	})
	return err
}

// awaitReady waits until all live hosts are ready, for up to 20 seconds.
func (f *fleet) awaitReady(ctx context.Context) error {
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
			return errors.Errorf("only %d of %d hosts became ready in time", ready, len(f.liveHosts()))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *fleet) liveHosts() []*entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*entryHost
	for _, host := range f.hosts {
		if !host.stopped {
			live = append(live, host)
		}
	}
	return live
}

// liveHostIn returns a live host in a zone, or nil if there is none.
func (f *fleet) liveHostIn(zone string) *entryHost {
	for _, host := range f.liveHosts() {
		if host.zone == zone {
			return host
		}
	}
	return nil
}

// stopHost stops a host gracefully and waits until it has stopped.
func (f *fleet) stopHost(host *entryHost) {
	f.platform.SetHost(platform.Host{ID: host.name, Zone: host.zone, State: "leaving"})
	host.server.Stop()
	<-host.server.Done()
	f.removeHost(host)
}

// killHost stops a host at once, as if it had crashed.
func (f *fleet) killHost(host *entryHost) {
	host.server.Kill()
	host.cancel()
	f.removeHost(host)
}

func (f *fleet) removeHost(host *entryHost) {
	f.mu.Lock()
	host.stopped = true
	f.mu.Unlock()
	f.platform.RemoveHost(host.name)
}

// seeds returns the data addresses of the live hosts, those in the zone first.
func (f *fleet) seeds(zone string) []string {
	var near, far []string
	for _, host := range f.liveHosts() {
		if host.zone == zone {
			near = append(near, host.dataAddress)
		} else {
			far = append(far, host.dataAddress)
		}
	}
	return append(near, far...)
}

// close kills all live hosts and closes all servers.
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

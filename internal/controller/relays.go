package controller

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// relayHost is a host that requests may be relayed to.
type relayHost struct {
	name    string
	region  string
	address string // host:port of its listener for relayed requests
}

// relays sends requests to other hosts that reach backend servers. It is safe for
// concurrent use.
type relays struct {
	*roundtripper.RoundTripper
	region string // of this host
	mu     sync.Mutex
	hosts  []relayHost
}

// Relay returns a random host of this host's region, or of another one if there is none,
// that is in one of the given regions, unless these are nil, and that has none of the
// given names.
func (r *relays) Relay(regions, except []string) (roundtripper.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []relayHost
	for _, host := range r.hosts {
		switch {
		case regions != nil && !slices.Contains(regions, host.region) || slices.Contains(except, host.name):
		case host.region == r.region:
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return roundtripper.Target{}, false
	}
	host := near[rand.IntN(len(near))]
	return roundtripper.Target{Address: host.address, Instance: host.name}, true
}

// set replaces the hosts, and closes idle connections to others.
func (r *relays) set(hosts []relayHost) {
	r.mu.Lock()
	unchanged := slices.Equal(hosts, r.hosts)
	r.hosts = hosts
	r.mu.Unlock()
	if unchanged {
		return
	}
	targets := make([]roundtripper.Target, 0, len(hosts))
	for _, host := range hosts {
		targets = append(targets, roundtripper.Target{Address: host.address, Instance: host.name})
	}
	r.Retain(targets)
}

// updateRelays passes the other hosts that serve requests and reach backend servers to
// the request path.
func (l *loop) updateRelays(live []tracker.Host) {
	var hosts []relayHost
	for _, host := range live {
		if host.ID.Name == l.controller.settings.Host || host.State != tracker.Serving || host.CutOff {
			continue
		}
		control, err := netip.ParseAddrPort(host.Control)
		if err != nil {
			continue // gossip to the host logs the invalid address
		}
		address := netip.AddrPortFrom(control.Addr(), uint16(l.controller.settings.PeerPort)).String()
		hosts = append(hosts, relayHost{name: host.ID.Name, region: l.controller.settings.Regions[host.Zone], address: address})
	}
	l.controller.relays.set(hosts)
}

// reachChanged makes the loop find out whether this host is cut off from all backend
// servers.
type reachChanged struct{}

func (reachChanged) apply(l *loop, now time.Duration) { l.updateCutOff(now) }

// onReach is called when a service is lost or begins to return. The cause may affect
// other services as well.
func (c *Controller) onReach(string) {
	lost := c.reach.Lost()
	if len(lost) > 0 {
		for _, service := range c.placer.ServiceNames() {
			if !slices.Contains(lost, service) {
				c.dispatcher.SuspectReach(service)
			}
		}
	}
	c.loop.send(reachChanged{})
}

// updateCutOff tells the other hosts if this host has become cut off from all backend
// servers, or reaches some again.
func (l *loop) updateCutOff(now time.Duration) {
	lost := l.controller.reach.Lost()
	services := l.controller.placer.ServiceNames()
	cutOff := len(services) > 0
	for _, service := range services {
		cutOff = cutOff && slices.Contains(lost, service)
	}
	if cutOff == l.cutOff {
		return
	}
	l.cutOff = cutOff
	klog.InfoS("host cut off from backend servers changed", "cutOff", cutOff, "lost", lost)
	l.tracker.SetCutOff(cutOff)
	l.applyPeerState(now)
	l.sendGossip(now)
}

// checkReach starts the checks of services that are due: those that were lost, and those
// whose backend servers have all fallen silent.
func (l *loop) checkReach(now time.Duration) {
	for _, service := range l.controller.reach.DueChecks(now) {
		go l.controller.dispatcher.CheckReach(service, true)
	}
	for _, service := range l.controller.placer.SilentServices(now) {
		l.controller.dispatcher.SuspectReach(service)
	}
	l.controller.recorder.Scope().Gauge("services_lost").Update(float64(len(l.controller.reach.Lost())))
}

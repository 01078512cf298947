package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
)

// hostRegistration is the content of a host's object in the store.
type hostRegistration struct {
	Zone    string `json:"zone"`
	Control string `json:"control"`
	Data    string `json:"data"`
}

// applyHosts applies the registered hosts, and registers this host if its own
// registration is missing or out of date. After a write it does not write again
// until the registration was seen.
func (l *loop) applyHosts(now time.Duration) {
	var registered []gossiper.RegisteredHost
	own := l.ownRegistration()
	upToDate := false
	cache := l.caches[l.kinds.Hosts]
	for _, item := range cache.effective() {
		var registration hostRegistration
		if err := json.Unmarshal(item.Content(), &registration); err != nil {
			klog.ErrorS(err, "invalid host registration ignored", "host", item.Name())
			continue
		}
		if item.Name() == l.controller.settings.Host {
			_, stored := cache.items[item.Name()]
			upToDate = stored && registration == own
			continue
		}
		registered = append(registered, gossiper.RegisteredHost{Name: item.Name(), Zone: registration.Zone, Control: registration.Control, Data: registration.Data})
	}
	l.registeredHosts = registered
	l.gossiper.SetRegisteredHosts(registered)
	l.countHosts(now)
	if upToDate {
		l.registrationSent = false
	} else if !l.registrationSent {
		l.registrationSent = true
		go l.register(own)
	}
}

func (l *loop) ownRegistration() hostRegistration {
	s := l.controller.settings
	return hostRegistration{Zone: s.Zone, Control: s.ControlAddress, Data: s.DataAddress}
}

// register writes this host's registration to the store and sends the result to
// the loop. An existing object is replaced at any revision.
func (l *loop) register(own hostRegistration) {
	name := l.controller.settings.Host
	content, err := json.Marshal(own)
	if err != nil {
		klog.ErrorS(err, "encoding own host registration failed")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	err = l.controller.platform.Create(ctx, l.kinds.Hosts, name, content)
	if errors.Is(err, storer.ErrConflict) {
		err = l.controller.platform.Replace(ctx, l.kinds.Hosts, name, content, 0)
	}
	l.send(&registrationResult{err: err})
}

const registerTimeout = 2 * time.Second

// registrationResult is the result of writing this host's registration.
type registrationResult struct{ err error }

func (m *registrationResult) apply(l *loop, _ time.Duration) {
	if m.err != nil {
		// The write may have succeeded; the next list of hosts shows whether the
		// registration is still missing.
		l.registrationSent = false
		klog.InfoS("writing own host registration failed", "cause", m.err.Error())
		l.followers[l.kinds.Hosts].Relist()
		return
	}
	klog.InfoS("host registered", "host", l.controller.settings.Host)
}

// countHosts updates the number of hosts that share the limits: all that are
// registered or sent a heartbeat. A host that announced that it is gone no longer
// counts by its heartbeats.
func (l *loop) countHosts(now time.Duration) {
	names := []string{l.controller.settings.Host}
	seen := map[string]bool{l.controller.settings.Host: true}
	for _, host := range l.tracker.Known(now) {
		seen[host.ID.Name] = true
		names = append(names, host.ID.Name)
	}
	for _, host := range l.registeredHosts {
		if !seen[host.Name] {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, l.hostNames) {
		return
	}
	l.hostNames = names
	l.hostCount = len(names)
	l.controller.placer.SetHosts(names)
	l.controller.dispatcher.SetRetries(retryShare(l.controller.settings, l.hostCount))
	klog.InfoS("number of hosts changed", "hosts", l.hostCount)
}

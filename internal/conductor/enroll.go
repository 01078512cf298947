package conductor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/pkg/greeter"
)

// hostCodec is a host's registration in the store.
type hostCodec struct {
	Zone    string `json:"zone"`
	Control string `json:"control"`
	Data    string `json:"data"`
}

// meet takes in the registered hosts, and registers the own one.
func (l *loop) meet(now time.Duration) {
	var contacts []greeter.Contact
	own := l.ownRegistration()
	stands := false
	for _, item := range l.tables[l.kinds.Hosts].items {
		var wire hostCodec
		if err := json.Unmarshal(item.Content(), &wire); err != nil {
			klog.ErrorS(err, "host registration ignored", "host", item.Name())
			continue
		}
		if item.Name() == l.conductor.settings.Host {
			stands = wire == own
			continue
		}
		contacts = append(contacts, greeter.Contact{Name: item.Name(), Zone: wire.Zone, Control: wire.Control, Data: wire.Data})
	}
	l.contacts = contacts
	l.greeter.SetContacts(contacts)
	l.count(now)
	if !stands && !l.written {
		l.written = true
		go l.enroll(own)
	}
}

func (l *loop) ownRegistration() hostCodec {
	s := l.conductor.settings
	return hostCodec{Zone: s.Zone, Control: s.Control, Data: s.Data}
}

// enroll writes the own registration.
func (l *loop) enroll(own hostCodec) {
	name := l.conductor.settings.Host
	content, err := json.Marshal(own)
	if err != nil {
		klog.ErrorS(err, "own registration could not be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), enrollTimeout)
	defer cancel()
	err = l.conductor.platform.Create(ctx, l.kinds.Hosts, name, content)
	if errors.Is(err, keeper.ErrConflict) {
		err = l.conductor.platform.Replace(ctx, l.kinds.Hosts, name, content, 0)
	}
	l.send(&enrolled{err: err})
}

const enrollTimeout = 2 * time.Second

// enrolled tells how the own registration went.
type enrolled struct{ err error }

func (m *enrolled) apply(l *loop, _ time.Duration) {
	if m.err != nil {
		// The next list of hosts shows whether it is still missing.
		l.written = false
		klog.InfoS("own registration not confirmed", "cause", m.err.Error())
		l.followers[l.kinds.Hosts].Nudge()
		return
	}
	klog.InfoS("host registered", "host", l.conductor.settings.Host)
}

// count works out how many hosts share the limits: all that are registered or
// were heard of, but those that said farewell.
func (l *loop) count(now time.Duration) {
	names := []string{l.conductor.settings.Host}
	zones := []string{l.conductor.settings.Zone}
	seen := map[string]bool{l.conductor.settings.Host: true}
	for _, host := range l.tracker.Known(now) {
		seen[host.ID.Name] = true
		names = append(names, host.ID.Name)
		zones = append(zones, host.Zone)
	}
	for _, contact := range l.contacts {
		if !seen[contact.Name] {
			names = append(names, contact.Name)
			zones = append(zones, contact.Zone)
		}
	}
	l.zoneHosts = 0
	for _, zone := range zones {
		if zone == l.conductor.settings.Zone {
			l.zoneHosts++
		}
	}
	if len(names) == l.hosts {
		return
	}
	l.hosts = len(names)
	l.conductor.placer.SetHosts(names)
	l.conductor.carrier.SetRetries(retries(l.conductor.settings, l.hosts))
	klog.InfoS("hosts counted", "hosts", l.hosts)
}

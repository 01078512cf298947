// Package platform is a stand-in for the platform. It has an object store with
// versions, conditional updates and watches, and a list of hosts that shows changes
// with a delay.
package platform

import (
	"sync"
	"time"
)

// object is one stored value. Its version is 0 if it does not exist.
type object struct {
	version int64
	value   []byte
}

// store keeps the objects in memory.
type store struct {
	mu      sync.Mutex
	objects map[string]object
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{objects: map[string]object{}, changed: make(chan struct{})}
}

// get returns an object and a channel that is closed at the next change of any
// object.
func (s *store) get(key string) (object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], s.changed
}

// put replaces an object if its version is the given one, where 0 means that it
// does not exist. It returns the current version and whether it replaced the
// object.
func (s *store) put(key string, value []byte, version int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.version != version {
		return current.version, false
	}
	s.objects[key] = object{version: version + 1, value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return version + 1, true
}

// Host is one entry of the host list.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // "live" or "leaving"
}

// hostList is the list of hosts. It shows each change after a lag.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []hostChange // in order of time
}

// hostChange is an added, updated or removed host.
type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

func (l *hostList) record(c hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

// visible returns the hosts after all changes that are at least as old as the
// lag, in the order in which they first appeared.
func (l *hostList) visible(now time.Time) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := map[string]Host{}
	var order []string
	for _, c := range l.changes {
		if now.Sub(c.at) < l.lag {
			continue
		}
		if c.removed {
			delete(byID, c.host.ID)
			continue
		}
		if _, known := byID[c.host.ID]; !known {
			order = append(order, c.host.ID)
		}
		byID[c.host.ID] = c.host
	}
	hosts := []Host{}
	for _, id := range order {
		if host, ok := byID[id]; ok {
			hosts = append(hosts, host)
			delete(byID, id)
		}
	}
	return hosts
}

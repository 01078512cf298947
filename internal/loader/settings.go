// Package loader loads a daemon's settings file. Every field has a default except
// the host's name, zone and addresses; unknown fields are errors.
package loader

import (
	"os"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Settings holds the settings of a daemon, by section.
type Settings struct {
	host       Host
	listen     Listen
	platform   Platform
	membership Membership
	shares     Shares
	lookup     Lookup
	stop       Stop
	keys       Keys
}

// Host returns the settings for the identity of the daemon's host.
func (s *Settings) Host() Host { return s.host }

// Listen returns the settings for the listeners.
func (s *Settings) Listen() Listen { return s.listen }

// Platform returns the settings for calls to the platform.
func (s *Settings) Platform() Platform { return s.platform }

// Membership returns the settings for heartbeats between hosts.
func (s *Settings) Membership() Membership { return s.membership }

// Shares returns the settings for limits that all hosts share.
func (s *Settings) Shares() Shares { return s.shares }

// Lookup returns the settings for look-ups.
func (s *Settings) Lookup() Lookup { return s.lookup }

// Stop returns the settings for a planned stop.
func (s *Settings) Stop() Stop { return s.stop }

// Keys returns the settings for keys.
func (s *Settings) Keys() Keys { return s.keys }

// Load reads and parses a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings could not be read")
	}
	return Parse(file, data)
}

// Parse parses the content of a settings file. The error lists every problem with
// its line and field.
func Parse(file string, data []byte) (*Settings, error) {
	m, err := decoder.Parse(file, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		host:       readHost(m.Mapping("host")),
		listen:     readListen(m.Mapping("listen")),
		platform:   readPlatform(m.Mapping("platform")),
		membership: readMembership(m.Mapping("membership")),
		shares:     readShares(m.Mapping("shares")),
		lookup:     readLookup(m.Mapping("lookup")),
		stop:       readStop(m.Mapping("stop")),
		keys:       readKeys(m.Mapping("keys")),
	}
	if err := m.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

// Package loader reads a daemon's settings file. Every field has a default but
// the host's name, zone and addresses; unknown fields are errors.
package loader

import (
	"os"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/reader"
)

// Settings is everything a daemon is told at its start.
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

// Host returns who the daemon is.
func (s *Settings) Host() Host { return s.host }

// Listen returns where the daemon listens.
func (s *Settings) Listen() Listen { return s.listen }

// Platform returns how the platform is reached.
func (s *Settings) Platform() Platform { return s.platform }

// Membership returns how hosts watch one another.
func (s *Settings) Membership() Membership { return s.membership }

// Shares returns how limits are divided.
func (s *Settings) Shares() Shares { return s.shares }

// Lookup returns how look-ups are answered.
func (s *Settings) Lookup() Lookup { return s.lookup }

// Stop returns how a planned stop runs.
func (s *Settings) Stop() Stop { return s.stop }

// Keys returns how keys are treated without contact.
func (s *Settings) Keys() Keys { return s.keys }

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings could not be read")
	}
	return Parse(file, data)
}

// Parse reads settings. The error lists every fault with its line and field.
func Parse(file string, data []byte) (*Settings, error) {
	m, err := reader.Parse(file, data)
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

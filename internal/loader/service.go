package loader

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Lookup is the settings section for look-ups.
type Lookup struct {
	ttl time.Duration
}

// TTL returns how long callers may cache a response.
func (l Lookup) TTL() time.Duration { return l.ttl }

func readLookup(m *decoder.Mapping) Lookup {
	return Lookup{ttl: m.Duration("ttl", 3*time.Second, 10*time.Millisecond, time.Hour)}
}

// Stop is the settings section for a planned stop.
type Stop struct {
	quiet time.Duration
}

// QuietTime returns how long after the time to live of look-ups the daemon waits
// for new requests to cease before it refuses them.
func (s Stop) QuietTime() time.Duration { return s.quiet }

func readStop(m *decoder.Mapping) Stop {
	return Stop{quiet: m.Duration("quiet", time.Second, 0, time.Hour)}
}

// Keys is the settings section for keys.
type Keys struct {
	lease time.Duration
}

// Lease returns how long keys are accepted without confirmation from any source
// that the configuration is current; 0 means without limit.
func (k Keys) Lease() time.Duration { return k.lease }

func readKeys(m *decoder.Mapping) Keys {
	return Keys{lease: m.Duration("lease", 0, 0, 30*24*time.Hour)}
}

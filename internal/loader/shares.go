package loader

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Shares is the settings section for limits that all hosts share. The section
// must be the same on every host.
type Shares struct {
	lease      time.Duration
	drift      time.Duration
	floor      float64
	fleetHosts int
	zoneHosts  int
	borrow     time.Duration
	rebalance  time.Duration
}

// Lease returns how long a host may use more than its floor without contact to
// other hosts.
func (s Shares) Lease() time.Duration { return s.lease }

// Drift returns the maximum drift between the clocks of two hosts over one lease.
func (s Shares) Drift() time.Duration { return s.drift }

// FleetFloorPPM returns a host's floor in millionths of each fleet-wide limit.
func (s Shares) FleetFloorPPM() int64 { return int64(s.floor*partsPerMillion) / int64(s.fleetHosts) }

// HomeFloorPPM returns a host's floor in millionths of each limit of its zone.
func (s Shares) HomeFloorPPM() int64 { return int64(s.floor*partsPerMillion) / int64(s.zoneHosts) }

const partsPerMillion = 1_000_000

// BorrowTimeout returns how long a request waits for another host's share of a
// limit before it is refused as over its rate.
func (s Shares) BorrowTimeout() time.Duration { return s.borrow }

// RebalanceInterval returns the interval at which a host requests shares that it
// lacks.
func (s Shares) RebalanceInterval() time.Duration { return s.rebalance }

func readShares(m *decoder.Mapping) Shares {
	return Shares{
		lease:      m.Duration("lease", 20*time.Second, 100*time.Millisecond, time.Hour),
		drift:      m.Duration("drift", time.Second, time.Millisecond, time.Minute),
		floor:      m.Float("floor", 1, 0, 1),
		fleetHosts: m.Int("fleet-hosts", 12, 1, 100_000),
		zoneHosts:  m.Int("zone-hosts", 2, 1, 10_000),
		borrow:     m.Duration("borrow", 60*time.Millisecond, 0, 10*time.Second),
		rebalance:  m.Duration("rebalance", 200*time.Millisecond, 10*time.Millisecond, time.Minute),
	}
}

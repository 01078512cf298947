package estimator

// Size holds the counts and rates that describe the size of a fleet.
type Size struct {
	Name       string
	Daemons    float64
	Zones      float64
	Regions    float64
	Sites      float64
	Blocks     float64
	Lookups    float64 // per second
	Changes    float64 // of the configuration, per day
	Failures   float64 // of hosts, per day
	Restarts   float64 // of hosts, per day
	Workspaces float64 // an assumption; the requirements give no number
}

// Bounds on the control work of one daemon, and conversion factors.
const (
	MaxCore        = 0.046   // share of one core
	MaxMemory      = 64e6    // bytes
	MaxNetwork     = 6e3     // bytes per second
	MaxStoreCalls  = 2000.0  // store calls per second of the whole fleet, including pending watches
	daySeconds     = 86400.0 // seconds per day
	nanosPerSecond = 1e9     // nanoseconds per second
)

// FullSize returns the size of the fleet in the requirements.
func FullSize() Size {
	return Size{
		Name: "full", Daemons: 2300, Zones: 42, Regions: 12, Sites: 390, Blocks: 110_000,
		Lookups: 1.2e6, Changes: 1800, Failures: 7, Restarts: 720, Workspaces: 2000,
	}
}

// CurrentSize returns the size of one user's present fleet.
func CurrentSize() Size {
	return Size{
		Name: "today", Daemons: 8, Zones: 6, Regions: 3, Sites: 6, Blocks: 100,
		Lookups: 100, Changes: 20, Failures: 0.03, Restarts: 2.5, Workspaces: 8,
	}
}

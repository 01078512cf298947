package estimator

// Size is the size of a fleet.
type Size struct {
	Name       string
	Daemons    float64
	Zones      float64
	Regions    float64
	Sites      float64
	Blocks     float64
	Lookups    float64 // a second
	Changes    float64 // of configuration a day
	Failures   float64 // of hosts a day
	Restarts   float64 // of hosts a day
	Workspaces float64 // assumed; the letter gives no number
}

// Bounds for the control work of one daemon.
const (
	MaxCore     = 0.046   // of a core
	MaxMemory   = 64e6    // bytes
	MaxNetwork  = 6e3     // bytes a second
	StoreReads  = 2000.0  // a second, waiting watches included
	daySeconds  = 86400.0 // seconds
	nanoPerCore = 1e9     // nanoseconds of processor time a second
)

// Full is the size that the letter gives.
func Full() Size {
	return Size{
		Name: "full", Daemons: 2300, Zones: 42, Regions: 12, Sites: 390, Blocks: 110_000,
		Lookups: 1.2e6, Changes: 1800, Failures: 7, Restarts: 720, Workspaces: 2000,
	}
}

// Today is the size of one user's fleet today.
func Today() Size {
	return Size{
		Name: "today", Daemons: 8, Zones: 6, Regions: 3, Sites: 6, Blocks: 100,
		Lookups: 100, Changes: 20, Failures: 0.03, Restarts: 2.5, Workspaces: 8,
	}
}

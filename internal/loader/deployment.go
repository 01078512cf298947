package loader

import "time"

// Deployment is what a host is told of itself and its bounds where the platform
// writes the settings. It is plain data, read once and never changed.
type Deployment struct {
	Host     string
	Zone     string
	Region   string
	Address  string            // IP address of the host
	Regions  map[string]string // region of each availability zone
	Data     string            // host:port for callers' requests
	Ready    string            // host:port for the platform's readiness checks; may be empty
	Lookup   string            // host:port for look-ups; may be empty
	Control  string            // host:port for other hosts; may be empty
	PeerPort int               // UDP port for datagrams between hosts; the same on all hosts
	Seeds    []string          // control addresses of some hosts; may be stale
	Store    string            // host:port of the platform's store
	Expected int               // hosts to count on before any is known; at least 1

	MemoryMB    int // a process above it is ended
	Descriptors int // open files and sockets of the process

	Grace        time.Duration // from the request to stop to the end of the process
	MaxLookupTTL time.Duration // longer validity of look-up answers does not count
	RetryRatio   float64       // retries of a service as a share of its requests
	RetryExtra   float64       // retries beyond that share in a window, over all hosts
	RateOverage  float64       // share by which a workspace may exceed its rate and burst
	ColdFactor   float64       // factor on what a cold backend server bears
	ColdSlack    float64       // requests a second beyond that
	ShiftCap     float64       // share of a region's requests that may change region at once
}

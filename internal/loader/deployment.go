package loader

import "time"

// Deployment holds the settings of a host in a deployment where the platform
// writes them: the host's identity, its addresses and its limits.
type Deployment struct {
	Host             string
	Zone             string
	Region           string
	Address          string            // IP address of the host
	Regions          map[string]string // region of each availability zone
	DataAddress      string            // host:port of the listener for callers' requests
	ReadinessAddress string            // host:port of the listener for the platform's readiness checks; may be empty
	LookupAddress    string            // host:port of the listener for look-ups; may be empty
	ControlAddress   string            // host:port of the listener for other hosts; may be empty
	PeerPort         int               // UDP port for datagrams between hosts; the same on all hosts
	Seeds            []string          // control addresses of some hosts; may be outdated
	StoreAddress     string            // host:port of the platform's store
	FirstStart       bool              // all hosts of the deployment start for the first time
	ExpectedHosts    int               // number of hosts to assume before any other is known; at least 1

	MemoryMB       int // the platform ends a process that uses more
	MaxDescriptors int // limit on open files and sockets of the process

	StopTimeout      time.Duration // time from the request to stop until the process is ended
	MaxLookupTTL     time.Duration // limit on the time to live of look-up responses; longer ones are cut to it
	RetryBudgetRatio float64       // limit on the retries of a service, as a share of its requests
	RetryBudgetExtra float64       // retries allowed beyond that share in a window, over all hosts
	RateOverage      float64       // share by which the admitted requests may exceed a workspace's rate and burst
	RateSlack        float64       // requests by which they may exceed it beside that, in any window
	ColdRateFactor   float64       // the bound on requests to a cold backend server is its cold rate times this
	ColdRateSlack    float64       // requests per second added to that bound
	MaxRegionShift   float64       // limit on the share of a region's requests that may change region at once
}

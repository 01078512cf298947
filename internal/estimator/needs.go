package estimator

// Need holds the resources that one role of a daemon uses.
type Need struct {
	Role       string
	Mechanism  string
	Memory     float64 // bytes
	Network    float64 // bytes per second, sent and received
	Core       float64 // share of one core
	StoreCalls float64 // calls to the store per second, of the whole fleet
	Missing    string  // mechanism that the row assumes and that is not implemented, or ""
}

// Rates, counts and sizes that the rows assume.
const (
	heartbeatRate         = 1.0    // exchanges per second for each pair of hosts, as implemented
	rebalanceRate         = 5.0    // searches per second for limits whose share is too small
	rosterReadRate        = 0.2    // reads of the roster per second and daemon, as implemented
	watchersPerZone       = 2.0    // daemons of a zone that watch the store
	hostPollRate          = 0.5    // reads of the host list per second and daemon
	contendedLimits       = 10.0   // limits of a daemon with demand at several hosts
	asksPerContendedLimit = 2.0    // asks per second for each contended limit; see docs/MEASUREMENTS.md
	viewChangesPerRestart = 3.0    // changes of the set of live hosts during one restart
	partialExchangePeers  = 3.0    // peers per heartbeat with partial exchange, as sender and as receiver together
	moveReadRate          = 2.0    // reads of a move's record per second, with one move in progress
	relaysPerZone         = 2.0    // hosts of a zone that gossip with other zones
	partialExchangeRate   = 1.0    // heartbeats per second with partial exchange
	relayedReadRate       = 0.02   // reads of the roster per second and zone, with relays
	eventBytes            = 200.0  // size of one event of the time line
	eventsKept            = 4096.0 // events in the time line of one daemon
	histogramBytes        = 16e3   // bytes of the latency histogram of one workspace
	activeWorkspaces      = 50.0   // workspaces that send requests to one daemon
)

// Needs estimates the needs of all roles in a fleet of the given size, as
// implemented and, where that exceeds a bound, with the mechanism that is
// missing.
func Needs(fits LinearFits, size Size) []Need {
	daemonsPerZone := size.Daemons / size.Zones
	return []Need{
		lookupNeed(fits, size),
		requestPathNeed(fits, size),
		configurationNeed(fits, size),
		incrementalConfigurationNeed(fits, size),
		membershipNeed(fits, size.Daemons, size.Daemons-1, heartbeatRate, "all hosts to all hosts", ""),
		membershipNeed(fits, daemonsPerZone+relaysPerZone*size.Zones, partialExchangePeers, partialExchangeRate,
			"a few peers per heartbeat; hosts of the zone, and relays between zones", "partial exchange"),
		sharesNeed(fits, size, size.Daemons, rosterReadRate, size.Daemons*rosterReadRate, "one roster for the fleet", ""),
		sharesNeed(fits, size, daemonsPerZone, relayedReadRate, size.Zones*relayedReadRate,
			"a roster for each zone and one of the zones, read by two hosts and relayed", "rosters in two levels"),
		transfersNeed(fits, size),
		{
			Role: "moves", Mechanism: "every daemon reads the record of each running move",
			Network: moveReadRate * 500, Core: moveReadRate * 60e3 / nanosPerSecond, StoreCalls: size.Daemons * moveReadRate,
		},
		{
			Role: "moves", Mechanism: "two daemons of a zone read it and relay it to the others", Missing: "relayed records",
			Network: moveReadRate * 500 * watchersPerZone / daemonsPerZone, StoreCalls: size.Zones * watchersPerZone * moveReadRate,
		},
		{Role: "probes", Mechanism: "only ejected backend servers, by the host that ejected them", Network: 2 * 300, Core: 2 * 50e3 / nanosPerSecond},
		{Role: "time line", Mechanism: "ring buffer in each daemon, read on demand", Memory: eventBytes * eventsKept},
		{Role: "reports", Mechanism: "histogram for each active workspace", Memory: histogramBytes * activeWorkspaces},
		{Role: "host list", Mechanism: "every daemon reads the platform's list", Network: size.Daemons * 80 * hostPollRate, StoreCalls: size.Daemons * hostPollRate},
		{
			Role: "host list", Mechanism: "two daemons of a zone read it", Missing: "elected readers of the host list",
			Network: 80 * size.Daemons * hostPollRate * watchersPerZone / daemonsPerZone, StoreCalls: size.Zones * watchersPerZone * hostPollRate,
		},
	}
}

func lookupNeed(fits LinearFits, size Size) Need {
	rate := size.Lookups / size.Daemons
	rebuilds := (size.Restarts + size.Failures) * viewChangesPerRestart / daySeconds
	return Need{
		Role: "look-up", Mechanism: "precomputed answers for 256 slots per zone; longest-prefix table of blocks",
		Memory: fits[LookupTableMemory].At(size.Daemons) + fits[BlockTableMemory].At(size.Blocks),
		Core: (rate*(fits[LookupTime].At(size.Daemons)+fits[BlockFindTime].At(size.Blocks)) +
			rebuilds*fits[LookupTableTime].At(size.Daemons)) / nanosPerSecond,
	}
}

func requestPathNeed(fits LinearFits, size Size) Need {
	return Need{
		Role: "request path (decisions)", Mechanism: "snapshot behind a pointer; one bucket per limit",
		Memory: fits[LimitMemory].At(size.Workspaces) + fits[WorkspaceMemory].At(size.Workspaces),
		Core:   1000 * fits[AdmissionTime].At(size.Workspaces) / nanosPerSecond,
	}
}

func configurationNeed(fits LinearFits, size Size) Need {
	changes := size.Changes / daySeconds
	file := fits[SiteFileBytes].At(size.Blocks / size.Sites)
	return Need{
		Role: "configuration", Mechanism: "two watchers per zone; head and changed files pushed; whole catalog rebuilt",
		Memory:     fits[BlockTableMemory].At(size.Blocks) + fits[SiteFileBytes].At(size.Blocks/size.Sites)*size.Sites,
		Network:    changes * (fits[ConfigHeadBytes].At(size.Sites+2*size.Workspaces) + file) * 2,
		Core:       changes * (fits[ConfigBuildTime].At(size.Blocks) + fits[BlockTableTime].At(size.Blocks)) / nanosPerSecond,
		StoreCalls: size.Zones*watchersPerZone + changes*size.Zones*watchersPerZone*2,
	}
}

func incrementalConfigurationNeed(fits LinearFits, size Size) Need {
	n := configurationNeed(fits, size)
	changes := size.Changes / daySeconds
	n.Mechanism = "only changed files parsed and checked; head sent as a difference"
	n.Missing = "incremental build"
	n.Network = changes * (fits[SiteFileBytes].At(size.Blocks/size.Sites) + 300) * 2
	n.Core = changes * (fits[ConfigBuildTime].At(size.Blocks/size.Sites) + fits[BlockTableTime].At(size.Blocks)) / nanosPerSecond
	return n
}

func membershipNeed(fits LinearFits, members, peers, rate float64, mechanism, missing string) Need {
	messages := 2 * peers * rate // request and response, whichever side starts
	return Need{
		Role: "membership", Mechanism: mechanism, Missing: missing,
		Memory:  400 * members,
		Network: messages * (fits[ExchangeBytes].At(members) + 150),
		Core:    messages * (fits[ExchangeTime].At(members)/2 + fits[HeartbeatTime].At(members)) / nanosPerSecond,
	}
}

func sharesNeed(fits LinearFits, size Size, members, reads, storeReads float64, mechanism, missing string) Need {
	collections := (size.Restarts + size.Failures) / daySeconds * members / size.Daemons
	return Need{
		Role: "share allocation", Mechanism: mechanism, Missing: missing,
		Memory: fits[LimitMemory].At(size.Workspaces),
		Network: reads*fits[RosterBytes].At(members) +
			collections*(fits[RosterBytes].At(members)+fits[CollectionReportBytes].At(size.Workspaces)),
		Core:       rebalanceRate * fits[RebalanceTime].At(size.Workspaces) / nanosPerSecond,
		StoreCalls: storeReads + 3*(size.Restarts+size.Failures)/daySeconds,
	}
}

func transfersNeed(fits LinearFits, size Size) Need {
	limits := min(contendedLimits, size.Workspaces)
	rate := 2 * limits * asksPerContendedLimit // asks of this host and of others
	return Need{
		Role: "share transfers", Mechanism: "asks between hosts, for limits with demand at several of them",
		Network: rate * fits[AskBytes].PerUnit,
		Core:    rate * 60e3 / nanosPerSecond,
	}
}

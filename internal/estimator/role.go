package estimator

// Need is what one role costs one daemon.
type Need struct {
	Role      string
	Mechanism string
	Memory    float64 // bytes of state
	Network   float64 // bytes a second, sent and received
	Core      float64 // share of one core
	Store     float64 // calls a second to the store, of the whole fleet
	Missing   string  // mechanism that is not built yet and that the row assumes, or ""
}

// Operating figures that the rows assume.
const (
	heartbeats     = 1.0   // exchanges a second for each pair of hosts, as built
	rebalances     = 5.0   // looks for short limits a second
	rosterReads    = 0.2   // a second and daemon, as built
	watchersZone   = 2.0   // daemons of a zone that wait on the store
	hostPolls      = 0.5   // reads of the host list a second and daemon
	contended      = 10.0  // limits of a daemon that are in demand at several hosts
	asksContended  = 2.0   // asks a second for each of them, see docs/MEASUREMENTS.md
	viewChanges    = 3.0   // changes of the live hosts for one restart
	exchangePeers  = 3.0   // peers of one heartbeat with partial exchange, both sides' together
	moveReads      = 2.0   // reads of a running move's record a second, one move running
	dutyHosts      = 2.0   // hosts of a zone that speak to other zones
	partialBeats   = 1.0   // partial exchanges a second
	relayedReads   = 0.02  // roster reads a second and zone, with relays
	eventBytes     = 200.0 // one event of the time line
	eventsKept     = 4096.0
	histogramBytes = 16e3 // latency of one workspace
	activeHere     = 50.0 // workspaces with requests at one daemon
)

// Needs works out all roles at a size, as built and, where that breaks a bound,
// with the mechanism that is missing.
func Needs(s Slopes, z Size) []Need {
	perZone := z.Daemons / z.Zones
	return []Need{
		lookup(s, z),
		requestPath(s, z),
		watcherRole(s, z),
		watcherDelta(s, z),
		membership(s, z.Daemons, z.Daemons-1, heartbeats, "all hosts to all hosts", ""),
		membership(s, perZone+dutyHosts*z.Zones, exchangePeers, partialBeats,
			"a few peers a heartbeat; zone hosts, and duty hosts between zones", "partial exchange"),
		shares(s, z, z.Daemons, rosterReads, z.Daemons*rosterReads, "one roster for the fleet", ""),
		shares(s, z, perZone, relayedReads, z.Zones*relayedReads,
			"a roster for each zone and one of zones, read by two hosts and relayed", "rosters in two levels"),
		asks(s, z),
		{
			Role: "moves", Mechanism: "every daemon reads the record of each running move",
			Network: moveReads * 500, Core: moveReads * 60e3 / nanoPerCore, Store: z.Daemons * moveReads,
		},
		{
			Role: "moves", Mechanism: "two daemons of a zone read it and tell the others", Missing: "relayed records",
			Network: moveReads * 500 * watchersZone / perZone, Store: z.Zones * watchersZone * moveReads,
		},
		{Role: "probes", Mechanism: "only ejected backend servers, by the host that ejected them", Network: 2 * 300, Core: 2 * 50e3 / nanoPerCore},
		{Role: "time line", Mechanism: "ring in each daemon, read when asked for", Memory: eventBytes * eventsKept},
		{Role: "reports", Mechanism: "histogram for each active workspace", Memory: histogramBytes * activeHere},
		{Role: "host list", Mechanism: "every daemon reads the platform's list", Network: z.Daemons * 80 * hostPolls, Store: z.Daemons * hostPolls},
		{
			Role: "host list", Mechanism: "two daemons of a zone read it", Missing: "duty for the host list",
			Network: 80 * z.Daemons * hostPolls * watchersZone / perZone, Store: z.Zones * watchersZone * hostPolls,
		},
	}
}

func lookup(s Slopes, z Size) Need {
	rate := z.Lookups / z.Daemons
	remakes := (z.Restarts + z.Failures) * viewChanges / daySeconds
	return Need{
		Role: "look-up", Mechanism: "answers made ahead for 256 slots a zone; longest-prefix table of blocks",
		Memory: s[TableMemory].At(z.Daemons) + s[BlockMemory].At(z.Blocks),
		Core: (rate*(s[AnswerTime].At(z.Daemons)+s[FindTime].At(z.Blocks)) +
			remakes*s[TableTime].At(z.Daemons)) / nanoPerCore,
	}
}

func requestPath(s Slopes, z Size) Need {
	return Need{
		Role: "request path (decisions)", Mechanism: "snapshot behind a pointer; one bucket a limit",
		Memory: s[LimitMemory].At(z.Workspaces) + s[WorkspaceBytes].At(z.Workspaces),
		Core:   1000 * s[TakeTime].At(z.Workspaces) / nanoPerCore,
	}
}

func watcherRole(s Slopes, z Size) Need {
	changes := z.Changes / daySeconds
	file := s[SiteFileBytes].At(z.Blocks / z.Sites)
	return Need{
		Role: "configuration", Mechanism: "two watchers a zone; head and changed files pushed; whole rebuilt",
		Memory:  s[BlockMemory].At(z.Blocks) + s[SiteFileBytes].At(z.Blocks/z.Sites)*z.Sites,
		Network: changes * (s[HeadBytes].At(z.Sites+2*z.Workspaces) + file) * 2,
		Core:    changes * (s[BuildTime].At(z.Blocks) + s[BlockTime].At(z.Blocks)) / nanoPerCore,
		Store:   z.Zones*watchersZone + changes*z.Zones*watchersZone*2,
	}
}

func watcherDelta(s Slopes, z Size) Need {
	n := watcherRole(s, z)
	changes := z.Changes / daySeconds
	n.Mechanism = "only changed files parsed and checked; head sent as a difference"
	n.Missing = "incremental build"
	n.Network = changes * (s[SiteFileBytes].At(z.Blocks/z.Sites) + 300) * 2
	n.Core = changes * (s[BuildTime].At(z.Blocks/z.Sites) + s[BlockTime].At(z.Blocks)) / nanoPerCore
	return n
}

func membership(s Slopes, view, peers, rate float64, mechanism, missing string) Need {
	messages := 2 * peers * rate // request and answer, whoever began
	return Need{
		Role: "membership", Mechanism: mechanism, Missing: missing,
		Memory:  400 * view,
		Network: messages * (s[ExchangeBytes].At(view) + 150),
		Core:    messages * (s[ExchangeTime].At(view)/2 + s[TrackTime].At(view)) / nanoPerCore,
	}
}

func shares(s Slopes, z Size, members, reads, storeReads float64, mechanism, missing string) Need {
	censuses := (z.Restarts + z.Failures) / daySeconds * members / z.Daemons
	return Need{
		Role: "share allocation", Mechanism: mechanism, Missing: missing,
		Memory: s[LimitMemory].At(z.Workspaces),
		Network: reads*s[RosterBytes].At(members) +
			censuses*(s[RosterBytes].At(members)+s[ReportBytes].At(z.Workspaces)),
		Core:  rebalances * s[RebalanceTime].At(z.Workspaces) / nanoPerCore,
		Store: storeReads + 3*(z.Restarts+z.Failures)/daySeconds,
	}
}

func asks(s Slopes, z Size) Need {
	limits := min(contended, z.Workspaces)
	rate := 2 * limits * asksContended // own asks and those of others
	return Need{
		Role: "share transfers", Mechanism: "asks between hosts, for limits in demand at several of them",
		Network: rate * s[AskBytes].PerUnit,
		Core:    rate * 60e3 / nanoPerCore,
	}
}

// Package messenger sends control messages between hosts. It converts domain types
// to wire types and back with handwritten code.
package messenger

import (
	"math"
	"time"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// EncodeID converts a host ID to its wire type.
func EncodeID(id tracker.HostID) *peerv1.HostID {
	return &peerv1.HostID{Name: id.Name, Incarnation: id.Incarnation}
}

// DecodeID converts a host ID from its wire type.
func DecodeID(id *peerv1.HostID) tracker.HostID {
	return tracker.HostID{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}

// EncodeStamp converts a stamp to its wire type.
func EncodeStamp(s timekeeper.Stamp) *peerv1.Stamp {
	return &peerv1.Stamp{Wall: s.Wall, Logical: s.Logical}
}

// DecodeStamp converts a stamp from its wire type.
func DecodeStamp(s *peerv1.Stamp) timekeeper.Stamp {
	return timekeeper.Stamp{Wall: s.GetWall(), Logical: s.GetLogical()}
}

// EncodeHeartbeats converts heartbeats to their wire type.
func EncodeHeartbeats(heartbeats []tracker.Heartbeat) []*peerv1.Beat {
	wire := make([]*peerv1.Beat, 0, len(heartbeats))
	for _, b := range heartbeats {
		wire = append(wire, &peerv1.Beat{
			Id: EncodeID(b.ID), Zone: b.Zone, Control: b.Control, Data: b.Data,
			State: int32(b.State), Counter: b.Counter, Boot: b.Boot, CutOff: b.CutOff,
		})
	}
	return wire
}

// DecodeHeartbeats converts heartbeats from their wire type. It drops heartbeats
// with an unknown state.
func DecodeHeartbeats(wire []*peerv1.Beat) []tracker.Heartbeat {
	heartbeats := make([]tracker.Heartbeat, 0, len(wire))
	for _, b := range wire {
		state := tracker.State(b.GetState())
		if state < tracker.Serving || state > tracker.Gone {
			continue
		}
		heartbeats = append(heartbeats, tracker.Heartbeat{
			ID: DecodeID(b.GetId()), Zone: b.GetZone(), Control: b.GetControl(), Data: b.GetData(),
			State: state, Counter: b.GetCounter(), Boot: b.GetBoot(), CutOff: b.GetCutOff(),
		})
	}
	return heartbeats
}

// EncodeCompactHeartbeats converts compact heartbeats to their wire type.
func EncodeCompactHeartbeats(heartbeats []tracker.CompactHeartbeat) []*peerv1.Pulse {
	wire := make([]*peerv1.Pulse, 0, len(heartbeats))
	pulses := make([]peerv1.Pulse, len(heartbeats)) // hundreds for a relay
	for i, p := range heartbeats {
		pulse := &pulses[i]
		pulse.Incarnation, pulse.Counter, pulse.State, pulse.CutOff = p.Incarnation, p.Counter, int32(p.State), p.CutOff
		wire = append(wire, pulse)
	}
	return wire
}

// DecodeCompactHeartbeats converts compact heartbeats from their wire type. It
// drops those in a state other than serving or leaving.
func DecodeCompactHeartbeats(wire []*peerv1.Pulse) []tracker.CompactHeartbeat {
	heartbeats := make([]tracker.CompactHeartbeat, 0, len(wire))
	for _, p := range wire {
		state := tracker.State(p.GetState())
		if state != tracker.Serving && state != tracker.Leaving {
			continue
		}
		heartbeats = append(heartbeats, tracker.CompactHeartbeat{Incarnation: p.GetIncarnation(), Counter: p.GetCounter(), State: state, CutOff: p.GetCutOff()})
	}
	return heartbeats
}

// EncodeDigests converts membership digests to their wire type.
func EncodeDigests(digests gossiper.Digests) []*peerv1.ZoneDigest {
	wire := make([]*peerv1.ZoneDigest, 0, len(digests))
	for zone, digest := range digests {
		wire = append(wire, &peerv1.ZoneDigest{Zone: zone, Digest: digest})
	}
	return wire
}

// DecodeDigests converts membership digests from their wire type.
func DecodeDigests(wire []*peerv1.ZoneDigest) gossiper.Digests {
	digests := make(gossiper.Digests, len(wire))
	for _, d := range wire {
		digests[d.GetZone()] = d.GetDigest()
	}
	return digests
}

// EncodeHead converts a configuration head to its wire type.
func EncodeHead(h activator.Head) *peerv1.Head {
	return &peerv1.Head{Generation: h.Generation, ChangeId: h.ChangeID, Author: h.Author, Files: h.Files}
}

// DecodeHead converts a configuration head from its wire type.
func DecodeHead(h *peerv1.Head) activator.Head {
	return activator.Head{
		Generation: h.GetGeneration(), ChangeID: h.GetChangeId(),
		Author: h.GetAuthor(), Files: h.GetFiles(),
	}
}

// EncodeRoster converts a roster to its wire type.
func EncodeRoster(r sharer.Roster) *peerv1.Roster {
	wire := &peerv1.Roster{Epoch: r.Epoch, Taker: EncodeID(r.Collector)}
	for _, m := range r.Members {
		wire.Members = append(wire.Members, &peerv1.Member{
			Id: EncodeID(m.ID), Zone: m.Zone, Control: m.Control, Boot: m.BootID, Joined: m.Joined,
			FleetFloorPpm: m.Floor.FleetPPM, HomeFloorPpm: m.Floor.HomePPM,
		})
	}
	return wire
}

// DecodeRoster converts a roster from its wire type.
func DecodeRoster(wire *peerv1.Roster) sharer.Roster {
	r := sharer.Roster{Epoch: wire.GetEpoch(), Collector: DecodeID(wire.GetTaker())}
	for _, m := range wire.GetMembers() {
		r.Members = append(r.Members, sharer.Member{
			ID: DecodeID(m.GetId()), Zone: m.GetZone(), Control: m.GetControl(), BootID: m.GetBoot(),
			Floor:  sharer.Floor{FleetPPM: m.GetFleetFloorPpm(), HomePPM: m.GetHomeFloorPpm()},
			Joined: m.GetJoined(),
		})
	}
	return r
}

// EncodeAmount converts an amount to its wire type.
func EncodeAmount(a limiter.Amount) *peerv1.Amount {
	return &peerv1.Amount{Rate: a.Rate, Capacity: a.Capacity}
}

// DecodeAmount converts an amount from its wire type.
func DecodeAmount(a *peerv1.Amount) limiter.Amount {
	return limiter.Amount{Rate: a.GetRate(), Capacity: a.GetCapacity()}
}

// EncodeShareReport converts a report of the shares that a host holds to its wire
// type.
func EncodeShareReport(r sharer.Report) *peerv1.Report {
	wire := &peerv1.Report{
		From: EncodeID(r.From), To: EncodeID(r.To), Epoch: r.Epoch, Generation: r.Generation,
	}
	for name, amount := range r.Holdings {
		wire.Holdings = append(wire.Holdings, &peerv1.Holding{Limit: name, Amount: EncodeAmount(amount)})
	}
	return wire
}

// DecodeShareReport converts a report of held shares from its wire type.
func DecodeShareReport(wire *peerv1.Report) sharer.Report {
	r := sharer.Report{
		Message:    sharer.Message{From: DecodeID(wire.GetFrom()), To: DecodeID(wire.GetTo()), Epoch: wire.GetEpoch()},
		Generation: wire.GetGeneration(),
		Holdings:   map[string]limiter.Amount{},
	}
	for _, h := range wire.GetHoldings() {
		r.Holdings[h.GetLimit()] = DecodeAmount(h.GetAmount())
	}
	return r
}

// EncodeTransfer converts a transfer to its wire type.
func EncodeTransfer(t sharer.Transfer) *peerv1.Transfer {
	return &peerv1.Transfer{
		From: EncodeID(t.From), To: EncodeID(t.To), Epoch: t.Epoch, Limit: t.Limit,
		Total: EncodeAmount(t.Total), Given: EncodeAmount(t.CumulativeShare), Tokens: t.CumulativeTokens,
		Answers: t.AskID, Left: EncodeAmount(t.RemainingShare), Spare: t.RemainingTokens, Demand: t.Demand,
	}
}

// DecodeTransfer converts a transfer from its wire type.
func DecodeTransfer(t *peerv1.Transfer) sharer.Transfer {
	return sharer.Transfer{
		Message: sharer.Message{From: DecodeID(t.GetFrom()), To: DecodeID(t.GetTo()), Epoch: t.GetEpoch()},
		Limit:   t.GetLimit(), Total: DecodeAmount(t.GetTotal()),
		CumulativeShare: DecodeAmount(t.GetGiven()), CumulativeTokens: t.GetTokens(), AskID: t.GetAnswers(),
		RemainingShare: DecodeAmount(t.GetLeft()), RemainingTokens: t.GetSpare(), Demand: t.GetDemand(),
	}
}

// EncodeAsk converts an ask for a share of a limit to its wire type.
func EncodeAsk(a sharer.Ask) *peerv1.AskRequest {
	return &peerv1.AskRequest{
		From: EncodeID(a.From), To: EncodeID(a.To), Epoch: a.Epoch, Limit: a.Limit,
		Total: EncodeAmount(a.Total), Have: EncodeAmount(a.Share),
		Tokens: a.Tokens, Demand: a.Demand, Need: a.Need, Id: a.ID,
	}
}

// DecodeAsk converts an ask for a share of a limit from its wire type. Negative
// values, which no host sends, become 0.
func DecodeAsk(a *peerv1.AskRequest) sharer.Ask {
	have := DecodeAmount(a.GetHave())
	return sharer.Ask{
		Message: sharer.Message{From: DecodeID(a.GetFrom()), To: DecodeID(a.GetTo()), Epoch: a.GetEpoch()},
		ID:      a.GetId(), Limit: a.GetLimit(), Total: DecodeAmount(a.GetTotal()),
		Share:  limiter.Amount{Rate: max(0, have.Rate), Capacity: max(0, have.Capacity)},
		Tokens: max(0, a.GetTokens()), Demand: max(0, a.GetDemand()), Need: max(0, a.GetNeed()),
	}
}

const demandScale = 10 // demand is sent in tenths of a request per second

// EncodeLoadRecords converts load records to their wire type.
func EncodeLoadRecords(records []gossiper.LoadRecord) []*peerv1.LoadRecord {
	wire := make([]*peerv1.LoadRecord, 0, len(records))
	for _, r := range records {
		record := &peerv1.LoadRecord{Scope: r.Scope}
		for limit, rate := range r.Demands {
			record.Demands = append(record.Demands, &peerv1.Demand{Limit: limit, Rate: uint32(rate*demandScale + 0.5)})
		}
		for server, running := range r.Running {
			record.Servers = append(record.Servers, server)
			record.Running = append(record.Running, uint32(running))
		}
		for service, load := range r.Services {
			record.Origins = append(record.Origins, encodeServiceLoad(service, load))
		}
		wire = append(wire, record)
	}
	return wire
}

func encodeServiceLoad(service uint32, load gossiper.ServiceLoad) *peerv1.Origin {
	wire := &peerv1.Origin{Service: service, Free: uint32(load.Free)}
	for region, bound := range load.Bound {
		wire.Regions = append(wire.Regions, region)
		wire.Bound = append(wire.Bound, uint32(bound))
	}
	encodePriorities(wire, load.Priorities)
	return wire
}

func decodeServiceLoads(wire []*peerv1.Origin) map[uint32]gossiper.ServiceLoad {
	loads := make(map[uint32]gossiper.ServiceLoad, len(wire))
	for _, w := range wire {
		load := gossiper.ServiceLoad{Free: int(w.GetFree()), Bound: make(map[uint32]int, len(w.GetRegions()))}
		for i, region := range w.GetRegions() {
			if i < len(w.GetBound()) {
				load.Bound[region] = int(w.GetBound()[i])
			}
		}
		load.Priorities = decodePriorities(w)
		loads[w.GetService()] = load
	}
	return loads
}

// DecodeLoadRecords converts load records from their wire type. It drops records
// with an unknown scope.
func DecodeLoadRecords(wire []*peerv1.LoadRecord) []gossiper.LoadRecord {
	records := make([]gossiper.LoadRecord, 0, len(wire))
	for _, w := range wire {
		if !gossiper.ValidScope(w.GetScope()) {
			continue
		}
		demands := make(map[uint32]float64, len(w.GetDemands()))
		for _, d := range w.GetDemands() {
			demands[d.GetLimit()] = float64(d.GetRate()) / demandScale
		}
		running := make(map[uint32]int, len(w.GetServers()))
		for i, server := range w.GetServers() {
			if i < len(w.GetRunning()) {
				running[server] = int(w.GetRunning()[i])
			}
		}
		load := gossiper.Load{Demands: demands, Running: running, Services: decodeServiceLoads(w.GetOrigins())}
		records = append(records, gossiper.LoadRecord{Scope: w.GetScope(), Load: load})
	}
	return records
}

const slownessScale = 100 // slowness is sent in hundredths of the expected time

// EncodeHealthReports converts health reports of backend servers to their wire
// type.
func EncodeHealthReports(reports gossiper.HealthReports) []*peerv1.Evidence {
	wire := make([]*peerv1.Evidence, 0, len(reports))
	for server, e := range reports {
		wire = append(wire, &peerv1.Evidence{
			Server: server, Tries: uint32(e.Attempts), Failed: uint32(e.Failed),
			Slowness: uint32(e.Slowness*slownessScale + 0.5), Impaired: e.Impaired,
		})
	}
	return wire
}

// DecodeHealthReports converts health reports of backend servers from their wire
// type.
func DecodeHealthReports(wire []*peerv1.Evidence) gossiper.HealthReports {
	reports := make(gossiper.HealthReports, len(wire))
	for _, w := range wire {
		reports[w.GetServer()] = placer.HealthReport{
			Attempts: int(w.GetTries()), Failed: int(w.GetFailed()),
			Slowness: float64(w.GetSlowness()) / slownessScale, Impaired: w.GetImpaired(),
		}
	}
	return reports
}

const limitScale = 1000 // request limits are sent in thousandths of a request per second

// EncodeLimits converts the request limits of backend servers, by the hash of the
// server's id, to their wire type.
func EncodeLimits(limits map[uint32]placer.LimitReport) []*peerv1.ServerLimit {
	wire := make([]*peerv1.ServerLimit, 0, len(limits))
	for server, r := range limits {
		wire = append(wire, &peerv1.ServerLimit{
			Server: server, Rate: uint32(min(r.PerSecond*limitScale+0.5, math.MaxUint32)),
			Ended: !r.Limited, Age: uint32(r.Age.Milliseconds()),
		})
	}
	return wire
}

// DecodeLimits converts request limits of backend servers from their wire type.
func DecodeLimits(wire []*peerv1.ServerLimit) map[uint32]placer.LimitReport {
	limits := make(map[uint32]placer.LimitReport, len(wire))
	for _, w := range wire {
		limits[w.GetServer()] = placer.LimitReport{
			Limited: !w.GetEnded(), PerSecond: float64(w.GetRate()) / limitScale, Age: time.Duration(w.GetAge()) * time.Millisecond,
		}
	}
	return limits
}

// EncodePosition converts a host's position in the history of a kind to its wire type.
func EncodePosition(kind string, p storer.Position) *peerv1.Position {
	return &peerv1.Position{Kind: kind, Revision: p.Revision(), Era: p.Era()}
}

// DecodePosition converts a position from its wire type.
func DecodePosition(wire *peerv1.Position) storer.Position {
	return storer.NewPosition(wire.GetEra(), wire.GetRevision())
}

// EncodeObjects converts stored objects of one kind to their wire type: all
// objects, or only changes if changes is set. The sender has all removals after
// revision complete.
func EncodeObjects(kind string, list storer.ItemList, complete int64, changes bool) *peerv1.ObjectTable {
	wire := &peerv1.ObjectTable{
		Kind: kind, Revision: list.Revision(), Era: list.Position().Era(), Complete: complete, Changes: changes,
	}
	for _, item := range list.Items() {
		wire.Objects = append(wire.Objects, &peerv1.StoredObject{
			Name: item.Name(), Revision: item.Revision(), Content: item.Content(), Deleted: item.Deleted(),
		})
	}
	return wire
}

// DecodeObjects converts stored objects of one kind from their wire type.
func DecodeObjects(wire *peerv1.ObjectTable) storer.ItemList {
	items := make([]storer.Item, 0, len(wire.GetObjects()))
	for _, o := range wire.GetObjects() {
		if o.GetDeleted() {
			items = append(items, storer.NewDeletedItem(o.GetName(), o.GetRevision()))
			continue
		}
		items = append(items, storer.NewItem(o.GetName(), o.GetRevision(), o.GetContent()))
	}
	return storer.NewItemList(items, wire.GetRevision(), storer.WithEra(wire.GetEra()))
}

// Package messenger carries messages between hosts. It maps domain types to
// wire types and back by hand.
package messenger

import (
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// EncodeID maps a host id to the wire.
func EncodeID(id tracker.HostID) *peerv1.HostID {
	return &peerv1.HostID{Name: id.Name, Incarnation: id.Incarnation}
}

// DecodeID maps a host id from the wire.
func DecodeID(id *peerv1.HostID) tracker.HostID {
	return tracker.HostID{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}

// EncodeStamp maps a stamp to the wire.
func EncodeStamp(s clocker.Stamp) *peerv1.Stamp {
	return &peerv1.Stamp{Wall: s.Wall, Logical: s.Logical}
}

// DecodeStamp maps a stamp from the wire.
func DecodeStamp(s *peerv1.Stamp) clocker.Stamp {
	return clocker.Stamp{Wall: s.GetWall(), Logical: s.GetLogical()}
}

// EncodeBeats maps heartbeats to the wire.
func EncodeBeats(beats []tracker.Beat) []*peerv1.Beat {
	wire := make([]*peerv1.Beat, 0, len(beats))
	for _, b := range beats {
		wire = append(wire, &peerv1.Beat{
			Id: EncodeID(b.ID), Zone: b.Zone, Control: b.Control, Data: b.Data,
			State: int32(b.State), Counter: b.Counter, Boot: b.Boot,
		})
	}
	return wire
}

// DecodeBeats maps heartbeats from the wire. One with an unknown state is
// dropped.
func DecodeBeats(wire []*peerv1.Beat) []tracker.Beat {
	beats := make([]tracker.Beat, 0, len(wire))
	for _, b := range wire {
		state := tracker.State(b.GetState())
		if state < tracker.Serving || state > tracker.Gone {
			continue
		}
		beats = append(beats, tracker.Beat{
			ID: DecodeID(b.GetId()), Zone: b.GetZone(), Control: b.GetControl(), Data: b.GetData(),
			State: state, Counter: b.GetCounter(), Boot: b.GetBoot(),
		})
	}
	return beats
}

// EncodePulses maps pulses to the wire.
func EncodePulses(pulses []tracker.Pulse) []*peerv1.Pulse {
	wire := make([]*peerv1.Pulse, 0, len(pulses))
	for _, p := range pulses {
		wire = append(wire, &peerv1.Pulse{Incarnation: p.Incarnation, Counter: p.Counter, State: int32(p.State)})
	}
	return wire
}

// DecodePulses maps pulses from the wire. One with an unknown state is dropped.
func DecodePulses(wire []*peerv1.Pulse) []tracker.Pulse {
	pulses := make([]tracker.Pulse, 0, len(wire))
	for _, p := range wire {
		state := tracker.State(p.GetState())
		if state != tracker.Serving && state != tracker.Leaving {
			continue
		}
		pulses = append(pulses, tracker.Pulse{Incarnation: p.GetIncarnation(), Counter: p.GetCounter(), State: state})
	}
	return pulses
}

// EncodeHead maps a configuration head to the wire.
func EncodeHead(h watcher.Head) *peerv1.Head {
	return &peerv1.Head{Generation: h.Generation, ChangeId: h.ChangeID, Author: h.Author, Files: h.Files}
}

// DecodeHead maps a configuration head from the wire.
func DecodeHead(h *peerv1.Head) watcher.Head {
	return watcher.Head{
		Generation: h.GetGeneration(), ChangeID: h.GetChangeId(),
		Author: h.GetAuthor(), Files: h.GetFiles(),
	}
}

// EncodeRoster maps a roster to the wire.
func EncodeRoster(r sharer.Roster) *peerv1.Roster {
	wire := &peerv1.Roster{Epoch: r.Epoch, Taker: EncodeID(r.Taker)}
	for _, m := range r.Members {
		wire.Members = append(wire.Members, &peerv1.Member{
			Id: EncodeID(m.ID), Zone: m.Zone, Control: m.Control, Boot: m.Boot, Joined: m.Joined,
			FleetFloorPpm: m.Floor.FleetPPM, HomeFloorPpm: m.Floor.HomePPM,
		})
	}
	return wire
}

// DecodeRoster maps a roster from the wire.
func DecodeRoster(wire *peerv1.Roster) sharer.Roster {
	r := sharer.Roster{Epoch: wire.GetEpoch(), Taker: DecodeID(wire.GetTaker())}
	for _, m := range wire.GetMembers() {
		r.Members = append(r.Members, sharer.Member{
			ID: DecodeID(m.GetId()), Zone: m.GetZone(), Control: m.GetControl(), Boot: m.GetBoot(),
			Floor:  sharer.Floor{FleetPPM: m.GetFleetFloorPpm(), HomePPM: m.GetHomeFloorPpm()},
			Joined: m.GetJoined(),
		})
	}
	return r
}

// EncodeAmount maps an amount to the wire.
func EncodeAmount(a limiter.Amount) *peerv1.Amount {
	return &peerv1.Amount{Rate: a.Rate, Capacity: a.Capacity}
}

// DecodeAmount maps an amount from the wire.
func DecodeAmount(a *peerv1.Amount) limiter.Amount {
	return limiter.Amount{Rate: a.GetRate(), Capacity: a.GetCapacity()}
}

// EncodeReport maps a census report to the wire.
func EncodeReport(r sharer.Report) *peerv1.Report {
	wire := &peerv1.Report{
		From: EncodeID(r.From), To: EncodeID(r.To), Epoch: r.Epoch, Generation: r.Generation,
	}
	for name, amount := range r.Holdings {
		wire.Holdings = append(wire.Holdings, &peerv1.Holding{Limit: name, Amount: EncodeAmount(amount)})
	}
	return wire
}

// DecodeReport maps a census report from the wire.
func DecodeReport(wire *peerv1.Report) sharer.Report {
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

// EncodeTransfer maps a transfer to the wire.
func EncodeTransfer(t sharer.Transfer) *peerv1.Transfer {
	return &peerv1.Transfer{
		From: EncodeID(t.From), To: EncodeID(t.To), Epoch: t.Epoch, Limit: t.Limit,
		Total: EncodeAmount(t.Total), Given: EncodeAmount(t.Given), Tokens: t.Tokens,
		Answers: t.Answers, Left: EncodeAmount(t.Left), Spare: t.Spare, Demand: t.Demand,
	}
}

// DecodeTransfer maps a transfer from the wire.
func DecodeTransfer(t *peerv1.Transfer) sharer.Transfer {
	return sharer.Transfer{
		Message: sharer.Message{From: DecodeID(t.GetFrom()), To: DecodeID(t.GetTo()), Epoch: t.GetEpoch()},
		Limit:   t.GetLimit(), Total: DecodeAmount(t.GetTotal()),
		Given: DecodeAmount(t.GetGiven()), Tokens: t.GetTokens(), Answers: t.GetAnswers(),
		Left: DecodeAmount(t.GetLeft()), Spare: t.GetSpare(), Demand: t.GetDemand(),
	}
}

// EncodeAsk maps an ask to the wire.
func EncodeAsk(a sharer.Ask) *peerv1.AskRequest {
	return &peerv1.AskRequest{
		From: EncodeID(a.From), To: EncodeID(a.To), Epoch: a.Epoch, Limit: a.Limit,
		Total: EncodeAmount(a.Total), Have: EncodeAmount(a.Have),
		Tokens: a.Tokens, Demand: a.Demand, Need: a.Need, Id: a.ID,
	}
}

// DecodeAsk maps an ask from the wire. Negative values, which no host sends,
// count as nothing.
func DecodeAsk(a *peerv1.AskRequest) sharer.Ask {
	have := DecodeAmount(a.GetHave())
	return sharer.Ask{
		Message: sharer.Message{From: DecodeID(a.GetFrom()), To: DecodeID(a.GetTo()), Epoch: a.GetEpoch()},
		ID:      a.GetId(), Limit: a.GetLimit(), Total: DecodeAmount(a.GetTotal()),
		Have:   limiter.Amount{Rate: max(0, have.Rate), Capacity: max(0, have.Capacity)},
		Tokens: max(0, a.GetTokens()), Demand: max(0, a.GetDemand()), Need: max(0, a.GetNeed()),
	}
}

const tenths = 10 // demand is told in tenths of a request a second

// EncodeRecords maps records of load to the wire.
func EncodeRecords(records []greeter.Record) []*peerv1.LoadRecord {
	wire := make([]*peerv1.LoadRecord, 0, len(records))
	for _, r := range records {
		one := &peerv1.LoadRecord{Scope: r.Scope}
		for limit, rate := range r.Demands {
			one.Demands = append(one.Demands, &peerv1.Demand{Limit: limit, Rate: uint32(rate*tenths + 0.5)})
		}
		for server, running := range r.Running {
			one.Servers = append(one.Servers, server)
			one.Running = append(one.Running, uint32(running))
		}
		for service, origin := range r.Origins {
			one.Origins = append(one.Origins, encodeOrigin(service, origin))
		}
		wire = append(wire, one)
	}
	return wire
}

func encodeOrigin(service uint32, origin greeter.Origin) *peerv1.Origin {
	wire := &peerv1.Origin{Service: service, Free: uint32(origin.Free)}
	for region, bound := range origin.Bound {
		wire.Regions = append(wire.Regions, region)
		wire.Bound = append(wire.Bound, uint32(bound))
	}
	return wire
}

func decodeOrigins(wire []*peerv1.Origin) map[uint32]greeter.Origin {
	origins := make(map[uint32]greeter.Origin, len(wire))
	for _, w := range wire {
		origin := greeter.Origin{Free: int(w.GetFree()), Bound: make(map[uint32]int, len(w.GetRegions()))}
		for i, region := range w.GetRegions() {
			if i < len(w.GetBound()) {
				origin.Bound[region] = int(w.GetBound()[i])
			}
		}
		origins[w.GetService()] = origin
	}
	return origins
}

// DecodeRecords maps records of load from the wire. One of an unknown scope is
// dropped.
func DecodeRecords(wire []*peerv1.LoadRecord) []greeter.Record {
	records := make([]greeter.Record, 0, len(wire))
	for _, w := range wire {
		if !greeter.ValidScope(w.GetScope()) {
			continue
		}
		demands := make(map[uint32]float64, len(w.GetDemands()))
		for _, d := range w.GetDemands() {
			demands[d.GetLimit()] = float64(d.GetRate()) / tenths
		}
		running := make(map[uint32]int, len(w.GetServers()))
		for i, server := range w.GetServers() {
			if i < len(w.GetRunning()) {
				running[server] = int(w.GetRunning()[i])
			}
		}
		load := greeter.Load{Demands: demands, Running: running, Origins: decodeOrigins(w.GetOrigins())}
		records = append(records, greeter.Record{Scope: w.GetScope(), Load: load})
	}
	return records
}

const hundredths = 100 // slowness is told in hundredths of the time expected

// EncodeEvidence maps what tries said to the wire.
func EncodeEvidence(all greeter.Evidence) []*peerv1.Evidence {
	wire := make([]*peerv1.Evidence, 0, len(all))
	for server, e := range all {
		wire = append(wire, &peerv1.Evidence{
			Server: server, Tries: uint32(e.Tries), Failed: uint32(e.Failed),
			Slowness: uint32(e.Slowness*hundredths + 0.5), Impaired: e.Impaired,
		})
	}
	return wire
}

// DecodeEvidence maps what tries said from the wire.
func DecodeEvidence(wire []*peerv1.Evidence) greeter.Evidence {
	all := make(greeter.Evidence, len(wire))
	for _, w := range wire {
		all[w.GetServer()] = placer.Evidence{
			Tries: int(w.GetTries()), Failed: int(w.GetFailed()),
			Slowness: float64(w.GetSlowness()) / hundredths, Impaired: w.GetImpaired(),
		}
	}
	return all
}

// EncodeTable maps objects of a kind to the wire: all of them, or only changes.
// The sender knows all removals after a revision.
func EncodeTable(kind string, table keeper.Table, complete int64, changes bool) *peerv1.ObjectTable {
	wire := &peerv1.ObjectTable{Kind: kind, Revision: table.Revision(), Complete: complete, Changes: changes}
	for _, item := range table.Items() {
		wire.Objects = append(wire.Objects, &peerv1.StoredObject{
			Name: item.Name(), Revision: item.Revision(), Content: item.Content(), Deleted: item.Deleted(),
		})
	}
	return wire
}

// DecodeTable maps objects of a kind from the wire.
func DecodeTable(wire *peerv1.ObjectTable) keeper.Table {
	items := make([]keeper.Item, 0, len(wire.GetObjects()))
	for _, o := range wire.GetObjects() {
		if o.GetDeleted() {
			items = append(items, keeper.NewDeletedItem(o.GetName(), o.GetRevision()))
			continue
		}
		items = append(items, keeper.NewItem(o.GetName(), o.GetRevision(), o.GetContent()))
	}
	return keeper.NewTable(items, wire.GetRevision())
}

package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
	"magnoliahill.example/magnoliahill/pkg/registrar"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

var record = flag.String("record", "", "directory under testdata for what this build writes; only for a new release")

const olderBuild = "testdata/a92b7fe"

// numbers are the numbers by which hosts name things to one another.
func numbers() map[string]any {
	server := registrar.NewInstance("i-1", "svc", "10.0.0.1:1", "z", registrar.WithIncarnation(1700000000123))
	hosts := tracker.New(tracker.Heartbeat{ID: tracker.HostID{Name: "front-1", Incarnation: 0x1122334455667788}, Zone: "z", State: tracker.Serving})
	hosts.Apply(0, tracker.Heartbeat{ID: tracker.HostID{Name: "front-2", Incarnation: 0x8877665544332201}, Zone: "z", State: tracker.Serving, Counter: 1})
	q := quarantiner.New(func() {})
	q.Merge(0, []quarantiner.State{{Digest: quarantinedRequest, Term: 2, Crashes: []uint32{1, 2, 3}}}, quarantiner.ByHost)
	return map[string]any{
		"server i-1": gossiper.NameHash("i-1"), "run of server i-1": runHash(server),
		"zone of two hosts": hosts.ZoneDigests(0)["z"], "one quarantine": q.Hash(0),
		"claim of a trial": trialName(quarantiner.Trial{Digest: quarantinedRequest, Term: 7, Number: 2}),
	}
}

// createdObjects records the objects that a host creates.
type createdObjects struct {
	idlePlatform
	created chan storer.Item
}

func (p createdObjects) Create(_ context.Context, _, name string, content []byte) error {
	p.created <- storer.NewItem(name, 1, content)
	return nil
}

// writtenObjects returns the objects of all kinds that a host writes, by what they are.
func writtenObjects(t *testing.T) map[string]storer.Item {
	l := newTestLoop(t, "front-1")
	p := createdObjects{created: make(chan storer.Item, 3)}
	l.controller.platform = p
	l.controller.settings.ControlAddress, l.controller.settings.DataAddress = "10.0.0.1:1", "10.0.0.1:2"
	l.register(l.ownRegistration())
	objects := map[string]storer.Item{"registration": <-p.created}
	entry := quarantiner.Entry{State: quarantiner.State{Digest: quarantinedRequest, Term: 2, Crashes: []uint32{1, 2, 3}}, Route: "r"}
	l.controller.writeQuarantine(entry)
	objects["quarantine"] = <-p.created
	l.controller.ClaimTrial(context.Background(), quarantiner.Trial{Digest: quarantinedRequest, Term: 2, Number: 1})
	objects["trial"] = <-p.created
	return objects
}

// storeGossip returns a gossip message of a host that watches the store and is at another
// position in each kind.
func storeGossip(t *testing.T) *peerv1.Greeting {
	l := newTestLoop(t, "front-1")
	catalog, err := cataloger.New(18, cataloger.Items{})
	if err != nil {
		t.Fatal(err)
	}
	l.config.catalog = catalog
	l.watching = true
	l.outageAt = 40 * time.Second
	for i, kind := range kindsByName(l) {
		l.caches[kind].replaceAll(storer.NewItemList(nil, 1, storer.WithEra(2)))
		l.caches[kind].advance(int64(21 + i))
	}
	m := l.storeState(42 * time.Second)
	beat := tracker.Heartbeat{ID: tracker.HostID{Name: "front-1", Incarnation: 99}, Zone: "z", Control: "10.0.0.1:1", State: tracker.Serving, Counter: 1}
	m.Sender, m.Beats = 99, messenger.EncodeHeartbeats([]tracker.Heartbeat{beat})
	return m
}

func kindsByName(l *loop) []string {
	return []string{l.kinds.Config, l.kinds.Evacuations, l.kinds.Hosts, l.kinds.Quarantines, l.kinds.Servers}
}

// gossipMeaning returns what a host knows after a gossip message.
func gossipMeaning(t *testing.T, m *peerv1.Greeting) map[string]any {
	l := newTestLoop(t, "front-2")
	l.fetching = true
	now := 100 * time.Second
	l.registrar.StoreLost(now - 2200*time.Millisecond) // less than 0.5 s before what the message says
	(&gossipReceived{m}).apply(l, now)
	positions := map[string]any{}
	for kind, cache := range l.caches {
		positions[kind] = []int64{cache.peerPosition.Era(), cache.peerPosition.Revision()}
	}
	return map[string]any{
		"positions": positions, "live hosts": l.tracker.LiveCount(now), "generation": l.config.peerGeneration,
		"watching host of the zone heard of": l.watcherSeenAt == now, "outage only here": l.registrar.LocalOutage(now),
	}
}

// TestRecord writes what this build writes, if a directory is given.
func TestRecord(t *testing.T) {
	if *record == "" {
		return
	}
	dir := filepath.Join("testdata", *record)
	write := func(name string, data []byte, err error) {
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), data, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	data, err := json.MarshalIndent(numbers(), "", "  ")
	write("numbers.json", data, err)
	names := map[string]string{}
	for what, item := range writtenObjects(t) {
		write(what+".object.json", item.Content(), nil)
		names[what] = item.Name()
	}
	data, err = json.MarshalIndent(names, "", "  ")
	write("names.json", data, err)
	gossip := storeGossip(t)
	data, err = proto.Marshal(gossip)
	write("gossip.binpb", data, err)
	data, err = json.MarshalIndent(gossipMeaning(t, gossip), "", "  ")
	write("gossip.meaning.json", data, err)
}

func readRecorded(t *testing.T, name string) []byte {
	data, err := os.ReadFile(filepath.Join(olderBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decodeJSON(t *testing.T, data []byte) map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // keeps all digits
	decoded := map[string]any{}
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func encodeJSON(t *testing.T, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestThingsHaveTheNumbersOfTheOlderBuild(t *testing.T) {
	is := is.New(t)
	present := decodeJSON(t, encodeJSON(t, numbers()))
	for what, number := range decodeJSON(t, readRecorded(t, "numbers.json")) {
		is.Equal(present[what], number)
	}
}

// The older build reads the fields that it knows of each object, under the same name.
func TestTheOlderBuildReadsStoredObjectsOfThisOne(t *testing.T) {
	is := is.New(t)
	names := decodeJSON(t, readRecorded(t, "names.json"))
	present := writtenObjects(t)
	is.True(len(present) >= len(names))
	for what, name := range names {
		is.Equal(present[what].Name(), name)
		content := decodeJSON(t, present[what].Content())
		for field, value := range decodeJSON(t, readRecorded(t, what+".object.json")) {
			is.Equal(content[field], value)
		}
	}
}

// recordedItem returns a stored object of the older build, with a field that neither
// build knows if one is given.
func recordedItem(t *testing.T, what, added string) storer.Item {
	content := decodeJSON(t, readRecorded(t, what+".object.json"))
	if added != "" {
		content[added] = map[string]any{"x": 1}
	}
	name, _ := decodeJSON(t, readRecorded(t, "names.json"))[what].(string)
	return storer.NewItem(name, 5, encodeJSON(t, content))
}

func TestStoredObjectsOfTheOlderBuildAreRead(t *testing.T) {
	for _, added := range []string{"", "added later"} {
		is := is.New(t)
		l := newTestLoop(t, "front-2")
		l.watching = true
		l.caches[l.kinds.Hosts].replaceAll(storer.NewItemList([]storer.Item{recordedItem(t, "registration", added)}, 5))
		l.applyHosts(0)
		is.Equal(l.registeredHosts, []gossiper.RegisteredHost{{Name: "front-1", Zone: "z", Control: "10.0.0.1:1", Data: "10.0.0.1:2"}})
		digest, quarantine, err := decodeQuarantine(recordedItem(t, "quarantine", added))
		is.NoErr(err)
		is.Equal(digest, quarantinedRequest)
		is.Equal(quarantine, storedQuarantine{Route: "r", Term: 2, Crashes: []uint32{1, 2, 3}})
		trial, err := parseTrialName(recordedItem(t, "trial", added).Name())
		is.NoErr(err)
		is.Equal(trial, quarantiner.Trial{Digest: quarantinedRequest, Term: 2, Number: 1})
		var claim storedTrial
		is.NoErr(json.Unmarshal(recordedItem(t, "trial", added).Content(), &claim))
		is.Equal(claim.Host, "front-1")
		listed(l, 1, 5, recordedItem(t, "quarantine", added), recordedItem(t, "trial", added)).apply(l, 0)
		is.True(l.isQuarantined())
	}
}

// A field that an object lacks leaves the others as they are.
func TestStoredObjectsThatLackAFieldAreRead(t *testing.T) {
	is := is.New(t)
	_, quarantine, err := decodeQuarantine(storer.NewItem(quarantinedRequest.String(), 5, []byte(`{"crashes":[1,2,3]}`)))
	is.NoErr(err)
	is.Equal(quarantine, storedQuarantine{Crashes: []uint32{1, 2, 3}})
	l := newTestLoop(t, "front-2")
	l.caches[l.kinds.Hosts].replaceAll(storer.NewItemList([]storer.Item{storer.NewItem("front-1", 5, []byte(`{"zone":"z"}`))}, 5))
	l.applyHosts(0)
	is.Equal(l.registeredHosts, []gossiper.RegisteredHost{{Name: "front-1", Zone: "z"}})
}

// What a host says of the store means the same to either build: positions by kind are
// sent without the kinds' names.
func TestGossipAboutTheStoreMeansTheSameToBothBuilds(t *testing.T) {
	is := is.New(t)
	meaning := decodeJSON(t, readRecorded(t, "gossip.meaning.json"))
	var older peerv1.Greeting
	is.NoErr(proto.Unmarshal(readRecorded(t, "gossip.binpb"), &older))
	for name, m := range map[string]*peerv1.Greeting{"of the older build": &older, "of this build": storeGossip(t)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			present := decodeJSON(t, encodeJSON(t, gossipMeaning(t, m)))
			for what, value := range meaning {
				is.Equal(present[what], value)
			}
		})
	}
	present := storeGossip(t)
	is.Equal(present.GetPositions()[:len(older.GetPositions())], older.GetPositions())
	is.Equal(present.GetLostBefore(), older.GetLostBefore())
	is.Equal(present.GetWatching(), older.GetWatching())
	is.Equal(present.GetEra(), older.GetEra())
	is.Equal(present.GetGeneration(), older.GetGeneration())
}

package messenger_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

var record = flag.String("record", "", "directory under testdata for what this build writes; only for a new release")

const olderBuild = "testdata/a92b7fe"

// sampleGreeting returns a gossip message with all fields of the older build set. It
// has one entry of each map, so that its bytes have one order.
func sampleGreeting() *peerv1.Greeting {
	id := tracker.HostID{Name: "front-1", Incarnation: 0x1122334455667788}
	load := gossiper.Load{
		Demands: map[uint32]float64{7: 12.3}, Running: map[uint32]int{8: 9},
		Services: map[uint32]gossiper.ServiceLoad{10: {Free: 11, Bound: map[uint32]int{12: 13}}},
	}
	return &peerv1.Greeting{
		Sender:    id.Incarnation,
		Beats:     messenger.EncodeHeartbeats([]tracker.Heartbeat{{ID: id, Zone: "z", Control: "10.0.0.1:1", Data: "10.0.0.1:2", State: tracker.Serving, Counter: 3, Boot: "b", CutOff: true}, {ID: tracker.HostID{Name: "front-2", Incarnation: 6}, State: tracker.Gone}}),
		Pulses:    messenger.EncodeCompactHeartbeats([]tracker.CompactHeartbeat{{Incarnation: 4, Counter: 5, State: tracker.Leaving, CutOff: true}}),
		Positions: []int64{21, 22, 23, 24, 25},
		Records:   messenger.EncodeLoadRecords([]gossiper.LoadRecord{{Scope: "host/front-1", Load: load}}),
		Watching:  true, StoreLost: true, LostBefore: 1501, Blind: true,
		Evidence: messenger.EncodeHealthReports(gossiper.HealthReports{14: {Attempts: 15, Failed: 6, Slowness: 2.5, Impaired: true}}),
		Digests:  messenger.EncodeDigests(gossiper.Digests{16: 17}),
		Era:      2, Generation: 18,
		Limits:  messenger.EncodeLimits(map[uint32]placer.LimitReport{19: {Limited: false, PerSecond: 20.5, Age: 1700 * time.Millisecond}}),
		Leaving: []uint32{21}, Retained: 22,
		Suspects:     messenger.EncodeSuspects([]quarantiner.State{{Digest: 0xa1, Term: 2, Crashes: []uint32{31, 32}, Age: 900 * time.Millisecond}}),
		SuspectsHash: 33,
	}
}

// greetingMeaning returns what the decoders of this build make of a gossip message.
func greetingMeaning(m *peerv1.Greeting) any {
	return map[string]any{
		"sender": m.GetSender(), "heartbeats": messenger.DecodeHeartbeats(m.GetBeats()),
		"compact heartbeats": messenger.DecodeCompactHeartbeats(m.GetPulses()), "positions": m.GetPositions(),
		"load": messenger.DecodeLoadRecords(m.GetRecords()), "watching": m.GetWatching(), "store lost": m.GetStoreLost(),
		"ms since lost": m.GetLostBefore(), "blind": m.GetBlind(), "health": messenger.DecodeHealthReports(m.GetEvidence()),
		"digests": messenger.DecodeDigests(m.GetDigests()), "era": m.GetEra(), "generation": m.GetGeneration(),
		"limits": messenger.DecodeLimits(m.GetLimits()), "leaving": m.GetLeaving(), "retained": m.GetRetained(),
		"suspects": messenger.DecodeSuspects(m.GetSuspects()), "suspects hash": m.GetSuspectsHash(),
	}
}

func sampleTable() *peerv1.ObjectTable {
	items := []storer.Item{storer.NewItem("i-1", 41, []byte(`{"State":"ready"}`)), storer.NewDeletedItem("i-2", 42)}
	table := messenger.EncodeObjects("servers", storer.NewItemList(items, 43, storer.WithEra(2)), 40, true)
	table.Objects[1].Remaining, table.Objects[1].Last = 2300, []byte("{}")
	return table
}

func tableMeaning(m *peerv1.ObjectTable) any {
	list := messenger.DecodeObjects(m)
	var objects []any
	for i, item := range list.Items() {
		wire := m.GetObjects()[i]
		objects = append(objects, map[string]any{
			"name": item.Name(), "revision": item.Revision(), "content": string(item.Content()), "deleted": item.Deleted(),
			"ms of retention": wire.GetRemaining(), "last content": string(wire.GetLast()),
		})
	}
	return map[string]any{
		"kind": m.GetKind(), "era": list.Position().Era(), "revision": list.Revision(), "objects": objects,
		"changes": m.GetChanges(), "complete": m.GetComplete(),
	}
}

func samplePosition() *peerv1.Position {
	p := messenger.EncodePosition("servers", storer.NewPosition(2, 44))
	p.Active, p.Retained = true, true
	return p
}

func positionMeaning(m *peerv1.Position) any {
	p := messenger.DecodePosition(m)
	return map[string]any{"kind": m.GetKind(), "era": p.Era(), "revision": p.Revision(), "active": m.GetActive(), "retained": m.GetRetained()}
}

// sample is a message that hosts of the platform send one another.
type sample struct {
	name    string
	written proto.Message
	read    proto.Message // to be decoded
	meaning func(proto.Message) any
}

func samples() []sample {
	return []sample{
		{"greeting", sampleGreeting(), &peerv1.Greeting{}, func(m proto.Message) any { return greetingMeaning(m.(*peerv1.Greeting)) }},
		{"objects", sampleTable(), &peerv1.ObjectTable{}, func(m proto.Message) any { return tableMeaning(m.(*peerv1.ObjectTable)) }},
		{"position", samplePosition(), &peerv1.Position{}, func(m proto.Message) any { return positionMeaning(m.(*peerv1.Position)) }},
		{"charge-response", &peerv1.ChargeResponse{Allowed: true, Wait: 250}, &peerv1.ChargeResponse{}, func(m proto.Message) any {
			return map[string]any{"allowed": m.(*peerv1.ChargeResponse).GetAllowed(), "ms to wait": m.(*peerv1.ChargeResponse).GetWait()}
		}},
		{"charge-request", &peerv1.ChargeRequest{Limit: "key:1"}, &peerv1.ChargeRequest{}, func(m proto.Message) any {
			return map[string]any{"limit": m.(*peerv1.ChargeRequest).GetLimit()}
		}},
	}
}

// TestRecord writes what this build sends, if a directory is given.
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
	file, err := proto.MarshalOptions{Deterministic: true}.Marshal(protodesc.ToFileDescriptorProto(peerv1.File_peer_v1_peer_proto))
	write("descriptor.binpb", file, err)
	for _, s := range samples() {
		data, err := proto.Marshal(s.written)
		write(s.name+".binpb", data, err)
		text, err := protojson.MarshalOptions{Multiline: true}.Marshal(s.written)
		write(s.name+".fields.json", text, err)
		if err := proto.Unmarshal(data, s.read); err != nil {
			t.Fatal(err)
		}
		meaning, err := json.MarshalIndent(s.meaning(s.read), "", "  ")
		write(s.name+".meaning.json", meaning, err)
	}
}

func readFile(t *testing.T, name string) []byte {
	data, err := os.ReadFile(filepath.Join(olderBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// asJSON returns a value as JSON has it: objects are maps, numbers keep all digits.
func asJSON(t *testing.T, value any) any {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			t.Fatal(err)
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func TestMessagesOfTheOlderBuildAreReadAsItMeantThem(t *testing.T) {
	for _, s := range samples() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(proto.Unmarshal(readFile(t, s.name+".binpb"), s.read))
			requireSubset(t, s.name, asJSON(t, readFile(t, s.name+".meaning.json")), asJSON(t, s.meaning(s.read)))
		})
	}
}

// olderDescriptor returns the messages as the older build knows them.
func olderDescriptor(t *testing.T) protoreflect.FileDescriptor {
	var file descriptorpb.FileDescriptorProto
	if err := proto.Unmarshal(readFile(t, "descriptor.binpb"), &file); err != nil {
		t.Fatal(err)
	}
	descriptor, err := protodesc.NewFile(&file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}

func TestTheOlderBuildReadsMessagesOfThisOne(t *testing.T) {
	messages := olderDescriptor(t).Messages()
	for _, s := range samples() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			data, err := proto.Marshal(s.written)
			is.NoErr(err)
			older := dynamicpb.NewMessage(messages.ByName(s.written.ProtoReflect().Descriptor().Name()))
			is.NoErr(proto.Unmarshal(data, older))
			text, err := protojson.Marshal(older)
			is.NoErr(err)
			is.Equal(asJSON(t, text), asJSON(t, readFile(t, s.name+".fields.json")))
		})
	}
}

// TestNoFieldOfTheOlderBuildIsRemovedOrChanged accepts added messages, fields and
// methods.
func TestNoFieldOfTheOlderBuildIsRemovedOrChanged(t *testing.T) {
	older, present := olderDescriptor(t), protoreflect.FileDescriptor(peerv1.File_peer_v1_peer_proto)
	for i := range older.Messages().Len() {
		message := older.Messages().Get(i)
		for _, problem := range changedFields(message, present.Messages().ByName(message.Name())) {
			t.Errorf("%s: %s", message.Name(), problem)
		}
	}
	for i := range older.Services().Len() {
		service := older.Services().Get(i)
		now := present.Services().ByName(service.Name())
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			if now == nil || now.Methods().ByName(method.Name()) == nil {
				t.Errorf("method %s is gone", method.FullName())
				continue
			}
			other := now.Methods().ByName(method.Name())
			if other.Input().FullName() != method.Input().FullName() || other.Output().FullName() != method.Output().FullName() {
				t.Errorf("method %s has other messages", method.FullName())
			}
		}
	}
}

// changedFields returns what an older build would misunderstand of a message.
func changedFields(older, present protoreflect.MessageDescriptor) []string {
	if present == nil {
		return []string{"is gone"}
	}
	var problems []string
	for i := range older.Fields().Len() {
		before := older.Fields().Get(i)
		now := present.Fields().ByNumber(before.Number())
		switch {
		case now == nil || now.Name() != before.Name():
			problems = append(problems, string(before.Name())+" has not its number any more")
		case now.Kind() != before.Kind() || now.Cardinality() != before.Cardinality() || now.IsPacked() != before.IsPacked() || now.IsMap() != before.IsMap():
			problems = append(problems, string(before.Name())+" has another type")
		case before.Message() != nil && now.Message().FullName() != before.Message().FullName():
			problems = append(problems, string(before.Name())+" has another message")
		}
	}
	for i := range present.Fields().Len() {
		if number := present.Fields().Get(i).Number(); older.ReservedRanges().Has(number) {
			problems = append(problems, string(present.Fields().Get(i).Name())+" has a number that an earlier field had")
		}
	}
	return problems
}

// A renumbering, a change of type, and a removal are found, and an addition is not.
func TestChangesOfFieldsAreFound(t *testing.T) {
	is := is.New(t)
	older := olderDescriptor(t).Messages().ByName("Greeting")
	for name, c := range map[string]struct {
		change func(*descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto
		found  int
	}{
		"same": {func(f *descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto { return f }, 0},
		"renumbered": {func(f *descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto {
			f.Number = proto.Int32(99)
			return f
		}, 1},
		"renamed": {func(f *descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto {
			f.Name = proto.String("x")
			return f
		}, 1},
		"retyped": {func(f *descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto {
			f.Type = descriptorpb.FieldDescriptorProto_TYPE_FIXED32.Enum()
			return f
		}, 1},
		"removed": {func(*descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto { return nil }, 1},
		"added":   {func(f *descriptorpb.FieldDescriptorProto) *descriptorpb.FieldDescriptorProto { return f }, 0},
	} {
		file := protodesc.ToFileDescriptorProto(olderDescriptor(t))
		for _, m := range file.GetMessageType() {
			if m.GetName() != "Greeting" {
				continue
			}
			var fields []*descriptorpb.FieldDescriptorProto
			for _, f := range m.GetField() {
				if f.GetName() == "lost_before" {
					f = c.change(f)
				}
				if f != nil {
					fields = append(fields, f)
				}
			}
			if name == "added" {
				fields = append(fields, &descriptorpb.FieldDescriptorProto{Name: proto.String("more"), Number: proto.Int32(1000), Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(), Type: descriptorpb.FieldDescriptorProto_TYPE_UINT32.Enum()})
			}
			m.Field = fields
		}
		descriptor, err := protodesc.NewFile(file, nil)
		is.NoErr(err)
		is.Equal(len(changedFields(older, descriptor.Messages().ByName("Greeting"))), c.found) // by name of the case
	}
}

// A message with a field that this build does not know means the same without it, and
// one that lacks a field means the same in all others.
func TestAddedAndMissingFieldsAreAccepted(t *testing.T) {
	is := is.New(t)
	data := readFile(t, "greeting.binpb")
	var whole peerv1.Greeting
	is.NoErr(proto.Unmarshal(data, &whole))
	added := protowire.AppendVarint(protowire.AppendTag(slices.Clone(data), 1000, protowire.VarintType), 5)
	var m peerv1.Greeting
	is.NoErr(proto.Unmarshal(added, &m))
	is.Equal(asJSON(t, greetingMeaning(&m)), asJSON(t, greetingMeaning(&whole)))
	for at := 0; at < len(data); {
		_, _, length := protowire.ConsumeField(data[at:])
		is.True(length > 0)
		var lacking peerv1.Greeting
		is.NoErr(proto.Unmarshal(slices.Concat(data[:at], data[at+length:]), &lacking))
		is.Equal(differences(asJSON(t, greetingMeaning(&whole)), asJSON(t, greetingMeaning(&lacking))), 1)
		at += length
	}
}

// differences returns the number of values that differ between two JSON objects.
func differences(one, other any) int {
	count := 0
	for name, value := range one.(map[string]any) {
		if !reflect.DeepEqual(value, other.(map[string]any)[name]) {
			count++
		}
	}
	return count
}

// requireSubset fails the test if a value lacks part of a recorded one, or has another
// value there.
func requireSubset(t *testing.T, path string, recorded, present any) {
	switch r := recorded.(type) {
	case map[string]any:
		p, _ := present.(map[string]any)
		for name, value := range r {
			requireSubset(t, path+"/"+name, value, p[name])
		}
	case []any:
		p, _ := present.([]any)
		if len(p) != len(r) {
			t.Errorf("%s: %v, but the older build meant %v", path, present, recorded)
			return
		}
		for i := range r {
			requireSubset(t, path, r[i], p[i])
		}
	default:
		if !reflect.DeepEqual(recorded, present) {
			t.Errorf("%s: %v, but the older build meant %v", path, present, recorded)
		}
	}
}

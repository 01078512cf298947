package messenger_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
)

// decodeAll reads bytes as each message that hosts send one another.
func decodeAll(_ *testing.T, data []byte) {
	for _, s := range samples() {
		if proto.Unmarshal(data, s.read) == nil {
			_ = s.meaning(s.read)
		}
	}
}

// FuzzMessages guards against messages of other hosts that end the process.
func FuzzMessages(f *testing.F) {
	for _, s := range samples() {
		data, err := proto.Marshal(s.written)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(decodeAll)
}

func TestMessageMutations(t *testing.T) {
	random := rand.New(rand.NewPCG(32, 3))
	for _, s := range samples() {
		data, err := proto.Marshal(s.written)
		if err != nil {
			t.Fatal(err)
		}
		for range 5000 {
			mutated := bytes.Clone(data)
			for range 1 + random.IntN(4) {
				mutated[random.IntN(len(mutated))] = byte(random.Uint32())
			}
			decodeAll(t, mutated[:1+random.IntN(len(mutated))])
		}
	}
}

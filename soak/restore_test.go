package soak_test

import (
	"maps"
	"math/rand/v2"
	"time"
)

// storeKey identifies an object of the store.
type storeKey struct{ kind, name string }

// put writes an object as the operator or a target and records it, so that it can be
// written again after a restore.
func (s *soak) put(kind, name string, content any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[storeKey{kind, name}] = content
	s.store.Put(kind, name, content)
}

// restoreStore lets the store come back from a copy that is up to three seconds old,
// once or twice during the faults. The operator and the targets write again what the
// store has lost, some of them up to 1.5 s later.
func (s *soak) restoreStore(rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		time.Sleep(time.Duration(rng.Int64N(int64(*faultDuration / 3))))
		s.store.Backup()
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		s.store.Restore()
		s.mu.Lock()
		lost := maps.Clone(s.written)
		s.mu.Unlock()
		for key := range lost {
			if rng.IntN(4) == 0 {
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			s.mu.Lock()
			s.store.Put(key.kind, key.name, s.written[key])
			s.mu.Unlock()
		}
	}
}

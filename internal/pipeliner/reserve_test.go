package pipeliner

import (
	"sync"
	"testing"
)

// Reservations that do not fit do not disturb others: the bytes held never exceed the
// limit, and what fits is granted.
func TestReserveIsExact(t *testing.T) {
	p := New(nil, nil, WithMemory(100))
	var group sync.WaitGroup
	for _, bytes := range []int{60, 101, 101, 40} { // those of 60 and 40 fit always
		group.Go(func() {
			for range 20_000 {
				granted := p.reserve(bytes)
				if granted != (bytes <= 60) {
					t.Errorf("reserving %d bytes: %v", bytes, granted)
					return
				}
				if held := p.HeldBytes(); held > 100 {
					t.Errorf("%d bytes are held", held)
					return
				}
				if granted {
					p.release(bytes)
				}
			}
		})
	}
	group.Wait()
}

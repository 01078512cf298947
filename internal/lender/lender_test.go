package lender_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/lender"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// zone is hosts that reach one another by function calls.
type zone struct {
	parts map[string]*divider.Divider
	cut   map[string]bool
	asked int
}

func (z *zone) Charge(_ context.Context, control, limit string) (bool, time.Duration, error) {
	z.asked++
	if z.cut[control] {
		return false, 0, errors.New("cut off")
	}
	ok, wait := z.parts[control].Take(time.Minute, limit)
	return ok, wait, nil
}

func newZone(n int) (*zone, map[string]*lender.Lender) {
	z := &zone{parts: map[string]*divider.Divider{}, cut: map[string]bool{}}
	lenders := map[string]*lender.Lender{}
	var hosts []tracker.Host
	for i := range n {
		name := fmt.Sprint("h", i)
		hosts = append(hosts, tracker.Host{Beat: tracker.Beat{ID: tracker.HostID{Name: name, Incarnation: 1}, Control: name}})
		d := divider.New(n, 0)
		d.SetLimits(0, []divider.Limit{{Name: "small", Rate: 10, Burst: 10}, {Name: "large", Rate: 1000, Burst: 1000}})
		d.SetOthers(time.Second, divider.Others{Hosts: n, Zone: n, Heard: n})
		z.parts[name] = d
		lenders[name] = lender.New(name, d, z)
	}
	for _, l := range lenders {
		l.SetHosts(hosts)
	}
	return z, lenders
}

// A pooled limit admits its burst through whichever host the callers come.
func TestPooledLimitIsWholeForEveryHost(t *testing.T) {
	is := is.New(t)
	_, lenders := newZone(8)
	admitted := 0
	for range 5 {
		for _, l := range lenders {
			if ok, _ := l.Take(t.Context(), time.Minute, "small"); ok {
				admitted++
			}
		}
	}
	is.Equal(admitted, 10)
}

func TestLargeLimitNeedsNoAsking(t *testing.T) {
	is := is.New(t)
	z, lenders := newZone(8)
	for _, l := range lenders {
		ok, _ := l.Take(t.Context(), time.Minute, "large")
		is.True(ok)
	}
	is.Equal(z.asked, 0)
}

// Hosts that cannot ask use a small part, and do not ask again for a while.
func TestHolderThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	z, lenders := newZone(8)
	for name := range lenders {
		z.cut[name] = true
	}
	admitted := 0
	for range 10 {
		for _, l := range lenders {
			if ok, _ := l.Take(t.Context(), time.Minute, "small"); ok {
				admitted++
			}
		}
	}
	is.True(z.asked <= 8)
	is.True(admitted >= 8) // the holder itself and one for each of the others
	is.True(admitted <= 10+8)
}

package reacher_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/reacher"
)

// step is one step of a case in the data file. Fields that are left out are not
// checked.
type step struct {
	At      float64 // seconds
	Suspect *bool   // result of Suspect
	Due     *bool   // the service is among those of DueChecks
	Check   string  // result of a check, "passed" or "failed"
	Changed bool    // result of Checked
	Local   *float64
}

type reachCase struct {
	Name  string
	Steps []step
}

func TestReach(t *testing.T) {
	data, err := os.ReadFile("testdata/reach.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []reachCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			r := newReacher()
			for _, s := range c.Steps {
				s.apply(is, r)
			}
		})
	}
}

func newReacher() *reacher.Reacher {
	chart := transitioner.MustLoad("reach")
	return reacher.New(chart, string(chart.Initial()))
}

func (s step) apply(is *is.I, r *reacher.Reacher) {
	now := time.Duration(s.At * float64(time.Second))
	if s.Suspect != nil {
		is.Equal(r.Suspect(now, "svc"), *s.Suspect)
	}
	if s.Due != nil {
		is.Equal(len(r.DueChecks(now)) == 1, *s.Due)
	}
	if s.Check != "" {
		is.Equal(r.Checked(now, "svc", s.Check == "passed"), s.Changed)
	}
	if s.Local != nil {
		local := 0
		for draw := range 100 {
			if r.UsesOwnLinks(now, "svc", float64(draw)/100) {
				local++
			}
		}
		is.Equal(local, int(100**s.Local))
	}
}

func TestServicesAreLostIndependently(t *testing.T) {
	is := is.New(t)
	r := newReacher()
	is.True(r.Suspect(time.Second, "a"))
	is.True(r.Checked(time.Second, "a", false))
	is.Equal(r.Lost(), []string{"a"})
	is.True(r.UsesOwnLinks(time.Second, "b", 0.5))
	r.Retain([]string{"b"})
	is.Equal(len(r.Lost()), 0)
}

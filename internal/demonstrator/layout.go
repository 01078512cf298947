// Package demonstrator runs a whole fleet in one process on loopback addresses:
// stand-ins for platform and backend servers, real entry hosts, callers, and
// the failures that the system is built for. Invariants are checked as it runs.
package demonstrator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// serviceLayout is one service of a layout.
type serviceLayout struct {
	name    string
	class   string
	targets int
	slots   int
	takes   time.Duration // service time of one request
}

// workspaceLayout is one workspace of a layout.
type workspaceLayout struct {
	name  string
	rate  int // requests a second
	burst int
	load  float64 // demand as a share of the rate
}

// Layout is the shape of one user's fleet.
type Layout struct {
	name        string
	regions     []string
	zones       int     // in each region
	hosts       int     // entry hosts in the fleet
	floor       float64 // sum of the hosts' floors as a share of each limit
	linkMbits   int
	linkLatency time.Duration // one way, between regions
	zoneLatency time.Duration // one way, between availability zones of a region
	services    []serviceLayout
	connections int // of each backend server
	workspaces  []workspaceLayout
}

// Layouts returns the names of all layouts.
func Layouts() []string { return []string{"uwimana", "hoshizora"} }

// Option changes one property of a layout.
type Option func(*Layout)

// WithFloor sets the sum of the hosts' floors as a share of each limit.
func WithFloor(sum float64) Option { return func(l *Layout) { l.floor = sum } }

// NewLayout returns a layout by name.
func NewLayout(name string, options ...Option) (Layout, error) {
	layouts := map[string]func() Layout{"uwimana": uwimana, "hoshizora": hoshizora}
	build := layouts[name]
	if build == nil {
		return Layout{}, fmt.Errorf("layout %q is none of %q", name, Layouts())
	}
	l := build()
	l.floor = 1
	for _, option := range options {
		option(&l)
	}
	return l, nil
}

func uwimana() Layout {
	return Layout{
		name:    "uwimana",
		regions: []string{"kigali", "huye", "musanze"}, zones: 2, hosts: 8,
		linkMbits: 4000, linkLatency: 20 * time.Millisecond, zoneLatency: 500 * time.Microsecond,
		services: []serviceLayout{
			{name: "orders", class: "urgent", targets: 12, slots: 8, takes: 8 * time.Millisecond},
			{name: "ledger", class: "patient", targets: 15, slots: 9, takes: 15 * time.Millisecond},
		},
		connections: 330,
		workspaces:  eightWorkspaces(),
	}
}

func hoshizora() Layout {
	return Layout{
		name:    "hoshizora",
		regions: []string{"fukuoka", "kumamoto", "kagoshima"}, zones: 2, hosts: 8,
		linkMbits: 4000, linkLatency: 20 * time.Millisecond, zoneLatency: time.Millisecond,
		services: []serviceLayout{
			{name: "orders", class: "urgent", targets: 16, slots: 6, takes: 6 * time.Millisecond},
			{name: "archive", class: "patient", targets: 18, slots: 6, takes: 15 * time.Millisecond},
		},
		connections: 390,
		workspaces:  eightWorkspaces(),
	}
}

// eightWorkspaces returns a few large workspaces and several small ones.
func eightWorkspaces() []workspaceLayout {
	return []workspaceLayout{
		{name: "w1-large", rate: 160, burst: 80, load: 0.7},
		{name: "w2-large", rate: 120, burst: 60, load: 0.7},
		{name: "w3-large", rate: 80, burst: 40, load: 0.7},
		{name: "w4", rate: 30, burst: 20, load: 0.7},
		{name: "w5", rate: 30, burst: 20, load: 0.7},
		{name: "w6", rate: 20, burst: 15, load: 0.7},
		{name: "w7", rate: 20, burst: 15, load: 0.7},
		{name: "w8-small", rate: 10, burst: 10, load: 0.7},
	}
}

func (l Layout) zoneNames() []string {
	var zones []string
	for _, region := range l.regions {
		for i := range l.zones {
			zones = append(zones, fmt.Sprintf("%s-%c", region, 'a'+i))
		}
	}
	return zones
}

func (l Layout) regionOf(zone string) string {
	return zone[:strings.LastIndex(zone, "-")]
}

// zoneOf returns the zone of the i-th of n things spread over all zones.
func (l Layout) zoneOf(i int) string {
	zones := l.zoneNames()
	return zones[i%len(zones)]
}

func (l Layout) topologyFile() string {
	var b strings.Builder
	b.WriteString("kind: topology\nregions:\n")
	for _, region := range l.regions {
		fmt.Fprintf(&b, "  - name: %s\n    zones: [", region)
		for i := range l.zones {
			if i > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%s-%c", region, 'a'+i)
		}
		b.WriteString("]\n")
	}
	b.WriteString("links:\n")
	for i, from := range l.regions {
		for _, to := range l.regions[i+1:] {
			fmt.Fprintf(&b, "  - {between: [%s, %s], capacity-mbits: %d, latency: %s}\n", from, to, l.linkMbits, l.linkLatency)
		}
	}
	return b.String()
}

func (l Layout) workspaceFile(w workspaceLayout) string {
	var names []string
	for _, service := range l.services {
		names = append(names, service.name)
	}
	return fmt.Sprintf("kind: workspace\nworkspace: %s\nservices: [%s]\nrate: %d\nburst: %d\n",
		w.name, strings.Join(names, ", "), w.rate, w.burst)
}

func keysFile(workspace string, keys map[string]string) []byte {
	var list []*cataloger.Key
	for _, id := range slices.Sorted(maps.Keys(keys)) {
		list = append(list, cataloger.NewKey(cataloger.Origin{}, id, cataloger.HashKey(keys[id]), workspace))
	}
	return parser.RenderKeys(workspace, list)
}

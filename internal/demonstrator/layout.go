// Package demonstrator runs a whole fleet in one process on loopback addresses:
// stand-ins for the platform and the backend servers, real entry hosts, and
// callers. It brings about the failures that the system must survive and checks
// the system's invariants.
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

// serviceLayout describes one service of a layout.
type serviceLayout struct {
	name               string
	class              string
	backendServerCount int           // spread evenly over all zones
	slots              int           // of each backend server
	serviceTime        time.Duration // of one request
}

// workspaceLayout describes one workspace of a layout.
type workspaceLayout struct {
	name  string
	rate  int // requests per second
	burst int
	load  float64 // demand as a share of the rate
}

// Layout describes the fleet of one user: its hosts, services and workspaces, and
// the network between its zones.
type Layout struct {
	name        string
	regions     []string
	zones       int           // in each region
	hosts       int           // entry hosts in the fleet
	floor       float64       // sum of the hosts' floors as a share of each limit
	linkMbits   int           // capacity between regions, in Mbit/s
	linkLatency time.Duration // one way, between regions
	zoneLatency time.Duration // one way, between availability zones of a region
	services    []serviceLayout
	connections int // of each backend server
	workspaces  []workspaceLayout
}

// LayoutNames returns the names of all layouts.
func LayoutNames() []string { return []string{"uwimana", "hoshizora"} }

// Option changes one property of a layout.
type Option func(*Layout)

// WithFloor sets the sum of the hosts' floors as a share of each limit.
func WithFloor(sum float64) Option { return func(l *Layout) { l.floor = sum } }

// NewLayout returns the layout with a name, or an error if there is none.
func NewLayout(name string, options ...Option) (Layout, error) {
	layouts := map[string]func() Layout{"uwimana": uwimana, "hoshizora": hoshizora}
	build := layouts[name]
	if build == nil {
		return Layout{}, fmt.Errorf("unknown layout %q, want one of %q", name, LayoutNames())
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
			{name: "orders", class: "urgent", backendServerCount: 12, slots: 8, serviceTime: 8 * time.Millisecond},
			{name: "ledger", class: "patient", backendServerCount: 15, slots: 9, serviceTime: 15 * time.Millisecond},
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
			{name: "orders", class: "urgent", backendServerCount: 16, slots: 6, serviceTime: 6 * time.Millisecond},
			{name: "archive", class: "patient", backendServerCount: 18, slots: 6, serviceTime: 15 * time.Millisecond},
		},
		connections: 390,
		workspaces:  eightWorkspaces(),
	}
}

// eightWorkspaces returns three large workspaces and five smaller ones.
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

// zoneOf returns the zone of the i-th host or backend server. They are spread
// evenly over all zones.
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

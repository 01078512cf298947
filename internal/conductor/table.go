package conductor

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

type (
	placerService = placer.Service
	target        = exchanger.Target
)

// table is the objects of one kind as this host knows them.
type table struct {
	items    map[string]keeper.Item
	revision int64 // of the latest change known; never falls
	known    bool  // the kind was listed, by the store or another host
	lost     bool  // the store does not answer this host

	ahead      int64         // furthest revision that another host told of
	aheadHost  string        // its control address
	aheadSince time.Duration // when one was first ahead
}

func newTable() *table { return &table{items: map[string]keeper.Item{}} }

// replace takes in all objects of the kind.
func (t *table) replace(all keeper.Table) {
	t.known = true
	t.items = make(map[string]keeper.Item, len(all.Items()))
	for _, item := range all.Items() {
		if !item.Deleted() {
			t.items[item.Name()] = item
		}
		t.revision = max(t.revision, item.Revision())
	}
}

// change takes in objects that changed.
func (t *table) change(changed keeper.Table) {
	for _, item := range changed.Items() {
		if item.Deleted() {
			delete(t.items, item.Name())
			continue
		}
		t.items[item.Name()] = item
	}
	t.revision = max(t.revision, changed.Revision())
}

// all returns the objects for another host.
func (t *table) all() keeper.Table {
	items := make([]keeper.Item, 0, len(t.items))
	for _, item := range t.items {
		items = append(items, item)
	}
	return keeper.NewTable(items, t.revision)
}

// limits returns the rates that all hosts share.
func limits(catalog *cataloger.Catalog) []divider.Limit {
	var limits []divider.Limit
	for _, w := range catalog.Workspaces() {
		if w.Rate() > 0 {
			limits = append(limits, divider.Limit{Name: w.Name(), Rate: w.Rate(), Burst: w.Burst()})
		}
	}
	return limits
}

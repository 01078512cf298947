// Package comparer lists what differs between two configurations and what each
// difference means for requests under way. It does no I/O.
package comparer

import (
	"sort"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Action is what happens to an item.
type Action string

// Actions on items.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Kinds of items.
const (
	KindRoute     = "route"
	KindService   = "service"
	KindWorkspace = "workspace"
	KindKey       = "key"
	KindLimits    = "limits"
)

// FieldChange is one field of an item with its values as text.
type FieldChange struct {
	field         string
	before, after string
}

// Field returns the name of the field.
func (f FieldChange) Field() string { return f.field }

// Before returns the value in the earlier configuration.
func (f FieldChange) Before() string { return f.before }

// After returns the value in the later configuration.
func (f FieldChange) After() string { return f.after }

// Change is one item that differs.
type Change struct {
	kind   string
	name   string // of a key its id; empty for the caller limits
	action Action
	fields []FieldChange // of an item that changed
	effect string
}

// Kind returns the kind of the item.
func (c Change) Kind() string { return c.kind }

// Name returns the item's name; of a key it is the id, which is not secret.
func (c Change) Name() string { return c.name }

// Action returns what happens to the item.
func (c Change) Action() Action { return c.action }

// Fields returns the fields of an item that changed.
func (c Change) Fields() []FieldChange { return c.fields }

// Effect tells what the change means for requests under way and new ones.
func (c Change) Effect() string { return c.effect }

// Compare returns the differences between a configuration and a later one, by kind
// and name.
func Compare(before, after *cataloger.Catalog) []Change {
	c := &comparison{before: before, after: after}
	c.compareItems(KindRoute, routes(before), routes(after), c.routeEffect)
	c.compareItems(KindService, services(before), services(after), serviceEffect)
	c.compareItems(KindWorkspace, workspaces(before), workspaces(after), workspaceEffect)
	c.compareKeys()
	c.compareItems(KindLimits, limits(before), limits(after), limitsEffect)
	return c.changes
}

type comparison struct {
	before, after *cataloger.Catalog
	changes       []Change
}

// fields holds the fields of an item in a fixed order, as name and value.
type fields [][2]string

func (c *comparison) compareItems(kind string, before, after map[string]fields, effect func(Change) string) {
	for _, name := range names(before, after) {
		old, existed := before[name]
		current, exists := after[name]
		change := Change{kind: kind, name: name, action: Changed}
		switch {
		case !existed:
			change.action = Added
		case !exists:
			change.action = Removed
		default:
			change.fields = difference(old, current)
			if len(change.fields) == 0 {
				continue
			}
		}
		change.effect = effect(change)
		c.changes = append(c.changes, change)
	}
}

// compareKeys compares the keys by their hashes: the id of a key changes when another
// one before it is removed.
func (c *comparison) compareKeys() {
	var changes []Change
	for _, key := range c.before.Keys() {
		current := c.after.Key(key.Hash())
		switch {
		case current == nil:
			changes = append(changes, Change{
				kind: KindKey, name: shownKey(key), action: Removed,
				effect: "requests under way finish; new ones with the key are refused (401)",
			})
		case current.Workspace() != key.Workspace():
			changes = append(changes, Change{
				kind: KindKey, name: shownKey(key), action: Changed,
				fields: []FieldChange{{"workspace", key.Workspace(), current.Workspace()}},
				effect: "requests under way stay those of the earlier workspace; new ones belong to the later",
			})
		}
	}
	for _, key := range c.after.Keys() {
		if c.before.Key(key.Hash()) == nil {
			changes = append(changes, Change{
				kind: KindKey, name: shownKey(key), action: Added,
				effect: "accepted from when a host has the version",
			})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].name < changes[j].name })
	c.changes = append(c.changes, changes...)
}

const shownHashDigits = 8

// shownKey returns the id of a key and the first digits of its hash, which tell keys
// apart whose ids are positions in a list.
func shownKey(key *cataloger.Key) string {
	return key.ID() + " (" + key.Hash().String()[:shownHashDigits] + ")"
}

func difference(before, after fields) []FieldChange {
	var changes []FieldChange
	for i := range before {
		if before[i][1] != after[i][1] {
			changes = append(changes, FieldChange{field: before[i][0], before: before[i][1], after: after[i][1]})
		}
	}
	return changes
}

func names(before, after map[string]fields) []string {
	var list []string
	for name := range before {
		list = append(list, name)
	}
	for name := range after {
		if _, both := before[name]; !both {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// Package reader reads YAML mappings field by field. Every fault, also an
// unknown field, is reported with its file, line and field.
package reader

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Mapping is one YAML mapping being read. Each getter marks its field as known
// and records a problem when the value does not fit.
type Mapping struct {
	file     string
	line     int
	path     string // dotted path of the mapping inside its file
	fields   map[string]*yaml.Node
	order    []string
	known    map[string]bool
	children []*Mapping
	problems *Problems
}

// Parse reads the single mapping that a file consists of.
func Parse(file string, data []byte) (*Mapping, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, errors.Wrapf(err, "%s is not valid yaml", file)
	}
	problems := &Problems{}
	if len(doc.Content) == 0 {
		return nil, NewProblem(file, 1, "", "the file is empty")
	}
	m := newMapping(file, "", doc.Content[0], problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

func newMapping(file, path string, node *yaml.Node, problems *Problems) *Mapping {
	m := &Mapping{
		file:     file,
		line:     node.Line,
		path:     path,
		fields:   map[string]*yaml.Node{},
		known:    map[string]bool{},
		problems: problems,
	}
	if node.Kind != yaml.MappingNode {
		problems.Add(NewProblem(file, node.Line, path, "expected a mapping of fields"))
		return m
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		m.addField(node.Content[i], node.Content[i+1])
	}
	return m
}

func (m *Mapping) addField(key, value *yaml.Node) {
	if _, twice := m.fields[key.Value]; twice {
		m.problems.Add(NewProblem(m.file, key.Line, m.child(key.Value), "the field stands twice"))
		return
	}
	m.fields[key.Value] = value
	m.order = append(m.order, key.Value)
}

func (m *Mapping) child(name string) string {
	if m.path == "" {
		return name
	}
	return m.path + "." + name
}

// File returns the name of the file being read.
func (m *Mapping) File() string { return m.file }

// Line returns the line the mapping starts on.
func (m *Mapping) Line() int { return m.line }

// Has reports whether the field is present.
func (m *Mapping) Has(name string) bool {
	_, ok := m.fields[name]
	return ok
}

// Names returns the names of all fields in the order of the file.
func (m *Mapping) Names() []string { return m.order }

// Fail records a problem with a field's value.
func (m *Mapping) Fail(name, format string, args ...any) {
	line := m.line
	if node, ok := m.fields[name]; ok {
		line = node.Line
	}
	m.problems.Add(NewProblem(m.file, line, m.child(name), fmt.Sprintf(format, args...)))
}

// Finish reports unknown fields of the mapping and all read below it, together
// with every problem found before.
func (m *Mapping) Finish() error {
	m.unknown()
	return m.problems.Err()
}

func (m *Mapping) unknown() {
	for _, name := range m.order {
		if !m.known[name] {
			m.Fail(name, "unknown field")
		}
	}
	for _, child := range m.children {
		child.unknown()
	}
}

func (m *Mapping) scalar(name string) (string, bool) {
	m.known[name] = true
	node, ok := m.fields[name]
	if !ok {
		return "", false
	}
	if node.Kind != yaml.ScalarNode {
		m.Fail(name, "expected a single value")
		return "", false
	}
	return node.Value, true
}

// String returns the field's text, or the default when it is absent.
func (m *Mapping) String(name, def string) string {
	value, ok := m.scalar(name)
	if !ok {
		return def
	}
	return value
}

// Required returns the field's text and records a problem when it is absent or
// empty.
func (m *Mapping) Required(name string) string {
	value, ok := m.scalar(name)
	if !ok || value == "" {
		m.Fail(name, "a value is required")
	}
	return value
}

// Choice returns a text that must be one of those allowed.
func (m *Mapping) Choice(name, def string, allowed ...string) string {
	value := m.String(name, def)
	for _, one := range allowed {
		if value == one {
			return value
		}
	}
	m.Fail(name, "%q is none of %q", value, allowed)
	return def
}

// Int returns a whole number between low and high.
func (m *Mapping) Int(name string, def, low, high int) int {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		m.Fail(name, "%q is not a whole number", text)
		return def
	}
	if value < low || value > high {
		m.Fail(name, "%d is outside %d to %d", value, low, high)
		return def
	}
	return value
}

// Float returns a number between low and high.
func (m *Mapping) Float(name string, def, low, high float64) float64 {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.Fail(name, "%q is not a number", text)
		return def
	}
	if !(value >= low && value <= high) {
		m.Fail(name, "%v is outside %v to %v", value, low, high)
		return def
	}
	return value
}

// Bool returns true or false.
func (m *Mapping) Bool(name string, def bool) bool {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		m.Fail(name, "%q is neither true nor false", text)
		return def
	}
	return value
}

// Duration returns a time span such as 250ms, between low and high.
func (m *Mapping) Duration(name string, def, low, high time.Duration) time.Duration {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		m.Fail(name, "%q is not a time span such as 250ms", text)
		return def
	}
	if value < low || value > high {
		m.Fail(name, "%v is outside %v to %v", value, low, high)
		return def
	}
	return value
}

// Strings returns a list of texts.
func (m *Mapping) Strings(name string) []string {
	var values []string
	for _, node := range m.sequence(name) {
		if node.Kind != yaml.ScalarNode {
			m.Fail(name, "line %d: expected a single value", node.Line)
			continue
		}
		values = append(values, node.Value)
	}
	return values
}

// Mapping returns the mapping below a field; an absent one reads as empty.
func (m *Mapping) Mapping(name string) *Mapping {
	m.known[name] = true
	node, ok := m.fields[name]
	if !ok {
		node = &yaml.Node{Kind: yaml.MappingNode, Line: m.line}
	}
	child := newMapping(m.file, m.child(name), node, m.problems)
	m.children = append(m.children, child)
	return child
}

// Mappings returns the list of mappings below a field.
func (m *Mapping) Mappings(name string) []*Mapping {
	var list []*Mapping
	for i, node := range m.sequence(name) {
		path := fmt.Sprintf("%s[%d]", m.child(name), i)
		child := newMapping(m.file, path, node, m.problems)
		m.children = append(m.children, child)
		list = append(list, child)
	}
	return list
}

func (m *Mapping) sequence(name string) []*yaml.Node {
	m.known[name] = true
	node, ok := m.fields[name]
	if !ok {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		m.Fail(name, "expected a list")
		return nil
	}
	return node.Content
}

// Problems returns what has been found so far, or nil.
func (m *Mapping) Problems() error { return m.problems.Err() }

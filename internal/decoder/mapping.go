// Package decoder reads YAML mappings field by field. Every problem, including an
// unknown field, is reported with its file, line and field.
package decoder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Mapping is one YAML mapping that is being read. Each getter marks its field as
// known, and records a problem when the value is invalid.
type Mapping struct {
	file     string
	line     int
	path     string // dotted path of the mapping within its file
	fields   map[string]*yaml.Node
	order    []string
	known    map[string]bool
	children []*Mapping
	problems *Problems
}

// Parse parses a file that consists of a single mapping.
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
	if _, duplicate := m.fields[key.Value]; duplicate {
		m.problems.Add(NewProblem(m.file, key.Line, m.fieldPath(key.Value), "the field is defined twice"))
		return
	}
	m.fields[key.Value] = value
	m.order = append(m.order, key.Value)
}

func (m *Mapping) fieldPath(name string) string {
	if m.path == "" {
		return name
	}
	return m.path + "." + name
}

// File returns the name of the file being read.
func (m *Mapping) File() string { return m.file }

// Line returns the 1-based line that the mapping starts on.
func (m *Mapping) Line() int { return m.line }

// Has reports whether the field is present.
func (m *Mapping) Has(name string) bool {
	_, ok := m.fields[name]
	return ok
}

// Names returns the names of all fields in the order of the file, including those
// that no getter has read.
func (m *Mapping) Names() []string { return m.order }

// AddProblem records a problem with a field, at the line of its value, or of the
// mapping when the field is absent.
func (m *Mapping) AddProblem(name, format string, args ...any) {
	line := m.line
	if node, ok := m.fields[name]; ok {
		line = node.Line
	}
	m.problems.Add(NewProblem(m.file, line, m.fieldPath(name), fmt.Sprintf(format, args...)))
}

// Finish records the unknown fields of the mapping and of all mappings read below
// it, and returns every problem found, or nil.
func (m *Mapping) Finish() error {
	m.addUnknownFields()
	return m.problems.Err()
}

func (m *Mapping) addUnknownFields() {
	for _, name := range m.order {
		if !m.known[name] {
			m.AddProblem(name, "unknown field")
		}
	}
	for _, child := range m.children {
		child.addUnknownFields()
	}
}

func (m *Mapping) scalar(name string) (string, bool) {
	m.known[name] = true
	node, ok := m.fields[name]
	if !ok {
		return "", false
	}
	if node.Kind != yaml.ScalarNode {
		m.AddProblem(name, "expected a single value")
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
		m.AddProblem(name, "a value is required")
	}
	return value
}

// Choice returns the field's text, which must be one of those allowed, or the
// default when it is absent or invalid.
func (m *Mapping) Choice(name, def string, allowed ...string) string {
	value := m.String(name, def)
	for _, choice := range allowed {
		if value == choice {
			return value
		}
	}
	m.AddProblem(name, "%q is not one of %q", value, allowed)
	return def
}

// Int returns the field's whole number, which must be from low to high, or the
// default when it is absent or invalid.
func (m *Mapping) Int(name string, def, low, high int) int {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		m.AddProblem(name, "%q is not a whole number", text)
		return def
	}
	if value < low || value > high {
		m.AddProblem(name, "%d is outside %d to %d", value, low, high)
		return def
	}
	return value
}

// Float returns the field's number, which must be from low to high, or the default
// when it is absent or invalid.
func (m *Mapping) Float(name string, def, low, high float64) float64 {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.AddProblem(name, "%q is not a number", text)
		return def
	}
	if !(value >= low && value <= high) {
		m.AddProblem(name, "%v is outside %v to %v", value, low, high)
		return def
	}
	return value
}

// Bool returns the field's boolean, or the default when it is absent or invalid.
func (m *Mapping) Bool(name string, def bool) bool {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		m.AddProblem(name, "%q is neither true nor false", text)
		return def
	}
	return value
}

// Duration returns the field's time span, such as 250ms, which must be from low to
// high, or the default when it is absent or invalid.
func (m *Mapping) Duration(name string, def, low, high time.Duration) time.Duration {
	text, ok := m.scalar(name)
	if !ok {
		return def
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		m.AddProblem(name, "%q is not a time span such as 250ms", text)
		return def
	}
	if value < low || value > high {
		m.AddProblem(name, "%v is outside %v to %v", value, low, high)
		return def
	}
	return value
}

// Strings returns the field's list of texts; an absent field is an empty list.
// Elements that are no single values are recorded as problems and left out.
func (m *Mapping) Strings(name string) []string {
	var values []string
	for _, node := range m.sequence(name) {
		if node.Kind != yaml.ScalarNode {
			m.AddProblem(name, "line %d: expected a single value", node.Line)
			continue
		}
		values = append(values, node.Value)
	}
	return values
}

// Mapping returns the mapping in a field; an absent field is an empty mapping.
func (m *Mapping) Mapping(name string) *Mapping {
	m.known[name] = true
	node, ok := m.fields[name]
	if !ok {
		node = &yaml.Node{Kind: yaml.MappingNode, Line: m.line}
	}
	child := newMapping(m.file, m.fieldPath(name), node, m.problems)
	m.children = append(m.children, child)
	return child
}

// Mappings returns the field's list of mappings; an absent field is an empty list.
func (m *Mapping) Mappings(name string) []*Mapping {
	var list []*Mapping
	for i, node := range m.sequence(name) {
		path := fmt.Sprintf("%s[%d]", m.fieldPath(name), i)
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
		m.AddProblem(name, "expected a list")
		return nil
	}
	return node.Content
}

// Problems returns the problems found so far, or nil.
func (m *Mapping) Problems() error { return m.problems.Err() }

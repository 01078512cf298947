// Package transitioner loads state charts from YAML files and runs them with the
// stateless library.
package transitioner

import (
	"context"
	"fmt"
	"sort"

	"github.com/qmuntal/stateless"

	"magnoliahill.example/magnoliahill/charts"
	"magnoliahill.example/magnoliahill/internal/decoder"
)

// State is the name of a state in a chart.
type State string

// Trigger is the name of an event in a chart.
type Trigger string

// transitionKey identifies a transition by the state it leaves and its trigger.
type transitionKey struct {
	state   State
	trigger Trigger
}

// Chart is a valid state chart: every state can be reached from the initial one.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions map[transitionKey]State
	machine     *stateless.StateMachine // its current state is passed in the context
}

// IllegalTransitionError means that a state has no transition for a trigger.
type IllegalTransitionError struct {
	chart   string
	state   State
	trigger Trigger
}

// Error names the chart, the state and the trigger.
func (e *IllegalTransitionError) Error() string {
	return fmt.Sprintf("chart %q has no transition on %q from state %q", e.chart, e.trigger, e.state)
}

// Load returns the chart of package charts with the given name, such as
// "request".
func Load(name string) (*Chart, error) {
	file := name + ".yaml"
	data, err := charts.Files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("chart %q does not exist", name)
	}
	return Parse(file, data)
}

// MustLoad is like Load, but panics on an error. It is meant for the charts that
// the program itself uses.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse parses a chart. The error lists every problem with its line and field.
func Parse(file string, data []byte) (*Chart, error) {
	m, err := decoder.Parse(file, data)
	if err != nil {
		return nil, err
	}
	c := &Chart{
		name:        m.Required("chart"),
		initial:     State(m.Required("initial")),
		final:       map[State]bool{},
		transitions: map[transitionKey]State{},
	}
	states := c.parseStates(m)
	c.checkReachability(m, states)
	if err := m.Finish(); err != nil {
		return nil, err
	}
	c.buildMachine(states)
	return c, nil
}

// parseStates parses the states with their transitions and returns the mapping
// of each state, for later problems.
func (c *Chart) parseStates(m *decoder.Mapping) map[State]*decoder.Mapping {
	triggers := map[string]bool{}
	for _, name := range m.Strings("triggers") {
		triggers[name] = true
	}
	states := map[State]*decoder.Mapping{}
	for _, entry := range m.Mappings("states") {
		state := State(entry.Required("name"))
		if states[state] != nil {
			entry.AddProblem("name", "state %q is defined twice", state)
		}
		states[state] = entry
		c.final[state] = entry.Bool("final", false)
		c.parseTransitions(entry, state, triggers)
	}
	return states
}

func (c *Chart) parseTransitions(m *decoder.Mapping, state State, triggers map[string]bool) {
	for _, entry := range m.Mappings("on") {
		trigger := entry.Required("trigger")
		if !triggers[trigger] {
			entry.AddProblem("trigger", "trigger %q is not listed under triggers", trigger)
		}
		key := transitionKey{state: state, trigger: Trigger(trigger)}
		if _, duplicate := c.transitions[key]; duplicate {
			entry.AddProblem("trigger", "trigger %q is used twice in state %q", trigger, state)
		}
		c.transitions[key] = State(entry.Required("to"))
	}
}

// checkReachability reports transitions to unknown states and states that cannot
// be reached from the initial one.
func (c *Chart) checkReachability(m *decoder.Mapping, states map[State]*decoder.Mapping) {
	if states[c.initial] == nil {
		m.AddProblem("initial", "state %q does not exist", c.initial)
		return
	}
	reached := map[State]bool{c.initial: true}
	queue := []State{c.initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for from, to := range c.transitions {
			if from.state != state || reached[to] {
				continue
			}
			if states[to] == nil {
				states[state].AddProblem("on", "state %q does not exist", to)
				continue
			}
			reached[to] = true
			queue = append(queue, to)
		}
	}
	for state, mapping := range states {
		if !reached[state] {
			mapping.AddProblem("name", "state %q cannot be reached", state)
		}
	}
}

// stateContextKey is the context key of a pointer to the current state.
type stateContextKey struct{}

// buildMachine sets up the state machine, which reads and writes the current
// state through the context.
func (c *Chart) buildMachine(states map[State]*decoder.Mapping) {
	read := func(ctx context.Context) (stateless.State, error) {
		return *ctx.Value(stateContextKey{}).(*State), nil
	}
	write := func(ctx context.Context, next stateless.State) error {
		*ctx.Value(stateContextKey{}).(*State) = next.(State)
		return nil
	}
	c.machine = stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	for state := range states {
		c.machine.Configure(state)
	}
	for from, to := range c.transitions {
		if from.state == to {
			c.machine.Configure(from.state).PermitReentry(from.trigger)
			continue
		}
		c.machine.Configure(from.state).Permit(from.trigger, to)
	}
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether a state is marked as final.
func (c *Chart) IsFinal(state State) bool { return c.final[state] }

// States returns the names of all states in alphabetical order.
func (c *Chart) States() []State {
	var states []State
	for state := range c.final {
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Fire changes state to the one that the trigger leads to. If there is no such
// transition, it returns an IllegalError and does not change state.
func (c *Chart) Fire(state *State, trigger Trigger) error {
	if _, ok := c.transitions[transitionKey{state: *state, trigger: trigger}]; !ok {
		return &IllegalTransitionError{chart: c.name, state: *state, trigger: trigger}
	}
	ctx := context.WithValue(context.Background(), stateContextKey{}, state)
	return c.machine.FireCtx(ctx, trigger)
}

// Next returns the state that a trigger leads to. If there is no such
// transition, it returns the given state and an IllegalError. It does not allocate
// on success, which the request path requires.
func (c *Chart) Next(state State, trigger Trigger) (State, error) {
	next, ok := c.transitions[transitionKey{state: state, trigger: trigger}]
	if !ok {
		return state, &IllegalTransitionError{chart: c.name, state: state, trigger: trigger}
	}
	return next, nil
}

// Step is like Fire, but takes and returns plain strings, for packages that do
// not import this one.
func (c *Chart) Step(from, trigger string) (string, error) {
	state := State(from)
	err := c.Fire(&state, Trigger(trigger))
	return string(state), err
}

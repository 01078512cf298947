// Package charter loads state charts from YAML files and interprets them on
// the stateless library.
package charter

import (
	"context"
	"fmt"
	"sort"

	"github.com/qmuntal/stateless"

	"magnoliahill.example/magnoliahill/charts"
	"magnoliahill.example/magnoliahill/internal/reader"
)

// State is the name of a state in a chart.
type State string

// Trigger is the name of an event in a chart.
type Trigger string

type edge struct {
	state   State
	trigger Trigger
}

// Chart is a checked state chart. Every state can be reached from the first.
type Chart struct {
	name    string
	initial State
	final   map[State]bool
	next    map[edge]State
	machine *stateless.StateMachine // its state travels in the context
}

// IllegalError says that a trigger does not apply in a state.
type IllegalError struct {
	chart   string
	state   State
	trigger Trigger
}

// Error names the chart, the state and the trigger.
func (e *IllegalError) Error() string {
	return fmt.Sprintf("chart %q has no transition on %q from state %q", e.chart, e.trigger, e.state)
}

// Load returns a chart of the program by name, such as "request".
func Load(name string) (*Chart, error) {
	file := name + ".yaml"
	data, err := charts.Files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("chart %q does not exist", name)
	}
	return Parse(file, data)
}

// MustLoad is Load for the charts compiled into the program.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse reads a chart. The error lists every fault with its line and field.
func Parse(file string, data []byte) (*Chart, error) {
	m, err := reader.Parse(file, data)
	if err != nil {
		return nil, err
	}
	c := &Chart{
		name:    m.Required("chart"),
		initial: State(m.Required("initial")),
		final:   map[State]bool{},
		next:    map[edge]State{},
	}
	states := c.readStates(m)
	c.checkReach(m, states)
	if err := m.Finish(); err != nil {
		return nil, err
	}
	c.build(states)
	return c, nil
}

func (c *Chart) readStates(m *reader.Mapping) map[State]*reader.Mapping {
	triggers := map[string]bool{}
	for _, name := range m.Strings("triggers") {
		triggers[name] = true
	}
	states := map[State]*reader.Mapping{}
	for _, one := range m.Mappings("states") {
		state := State(one.Required("name"))
		if states[state] != nil {
			one.Fail("name", "state %q stands twice", state)
		}
		states[state] = one
		c.final[state] = one.Bool("final", false)
		c.readEdges(one, state, triggers)
	}
	return states
}

func (c *Chart) readEdges(m *reader.Mapping, state State, triggers map[string]bool) {
	for _, one := range m.Mappings("on") {
		trigger := one.Required("trigger")
		if !triggers[trigger] {
			one.Fail("trigger", "trigger %q is not listed under triggers", trigger)
		}
		from := edge{state: state, trigger: Trigger(trigger)}
		if _, twice := c.next[from]; twice {
			one.Fail("trigger", "trigger %q stands twice in state %q", trigger, state)
		}
		c.next[from] = State(one.Required("to"))
	}
}

func (c *Chart) checkReach(m *reader.Mapping, states map[State]*reader.Mapping) {
	if states[c.initial] == nil {
		m.Fail("initial", "state %q does not exist", c.initial)
		return
	}
	reached := map[State]bool{c.initial: true}
	work := []State{c.initial}
	for len(work) > 0 {
		state := work[0]
		work = work[1:]
		for from, to := range c.next {
			if from.state != state || reached[to] {
				continue
			}
			if states[to] == nil {
				states[state].Fail("on", "state %q does not exist", to)
				continue
			}
			reached[to] = true
			work = append(work, to)
		}
	}
	for state, at := range states {
		if !reached[state] {
			at.Fail("name", "state %q cannot be reached", state)
		}
	}
}

type stateKey struct{}

func (c *Chart) build(states map[State]*reader.Mapping) {
	read := func(ctx context.Context) (stateless.State, error) {
		return *ctx.Value(stateKey{}).(*State), nil
	}
	write := func(ctx context.Context, next stateless.State) error {
		*ctx.Value(stateKey{}).(*State) = next.(State)
		return nil
	}
	c.machine = stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	for state := range states {
		c.machine.Configure(state)
	}
	for from, to := range c.next {
		if from.state == to {
			c.machine.Configure(from.state).PermitReentry(from.trigger)
			continue
		}
		c.machine.Configure(from.state).Permit(from.trigger, to)
	}
}

// Initial returns the state that everything starts in.
func (c *Chart) Initial() State { return c.initial }

// Final reports whether nothing follows a state.
func (c *Chart) Final(state State) bool { return c.final[state] }

// States returns the names of all states in alphabetical order.
func (c *Chart) States() []State {
	var states []State
	for state := range c.final {
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Fire moves a state by a trigger. A trigger that does not apply leaves the
// state as it is and returns an IllegalError.
func (c *Chart) Fire(state *State, trigger Trigger) error {
	if _, ok := c.next[edge{state: *state, trigger: trigger}]; !ok {
		return &IllegalError{chart: c.name, state: *state, trigger: trigger}
	}
	ctx := context.WithValue(context.Background(), stateKey{}, state)
	return c.machine.FireCtx(ctx, trigger)
}

// Next returns the state that a trigger leads to, without moving anything. The
// request path uses it, since it does not allocate.
func (c *Chart) Next(state State, trigger Trigger) (State, error) {
	next, ok := c.next[edge{state: state, trigger: trigger}]
	if !ok {
		return state, &IllegalError{chart: c.name, state: state, trigger: trigger}
	}
	return next, nil
}

// Step is Fire on state and trigger names, for packages that do not import this
// one.
func (c *Chart) Step(from, trigger string) (string, error) {
	state := State(from)
	err := c.Fire(&state, Trigger(trigger))
	return string(state), err
}

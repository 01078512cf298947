// Package auditor looks for items of a configuration that are consistent but cannot
// have the effect that their author wanted: routes that no request matches, keys that
// open nothing, limits that contradict each other. It does no I/O.
package auditor

import (
	"fmt"
	"sort"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Severity tells whether a host rejects the configuration because of a finding.
type Severity int

// A host rejects a configuration with an Error. It applies one with a Warning.
const (
	Warning Severity = iota
	Error
)

// String returns the severity as it is shown to operators.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Finding is one fault of a configuration.
type Finding struct {
	cataloger.Origin
	severity Severity
	kind     string // stable, for programs, such as route-unmatchable
	field    string
	message  string
}

// NewFinding returns a finding at an origin. Its kind is a stable name for programs.
func NewFinding(origin cataloger.Origin, severity Severity, kind, field, message string) Finding {
	return Finding{Origin: origin, severity: severity, kind: kind, field: field, message: message}
}

// Located returns a copy of the finding with another origin and the path of its
// field there.
func (f Finding) Located(origin cataloger.Origin, field string) Finding {
	f.Origin, f.field = origin, field
	return f
}

// Severity tells whether a host rejects the configuration because of the finding.
func (f Finding) Severity() Severity { return f.severity }

// Kind returns the name of the kind of finding, for programs.
func (f Finding) Kind() string { return f.kind }

// Field returns the field at fault; "" is the whole item.
func (f Finding) Field() string { return f.field }

// Message returns a description of the finding. It contains no key.
func (f Finding) Message() string { return f.message }

// Names of the fields in findings of an audit.
const (
	FieldGeneration  = "generation"
	FieldHost        = "host"
	FieldPrefix      = "prefix"
	FieldSplits      = "splits"
	FieldWeight      = "weight"
	FieldTimeout     = "timeout"
	FieldLatencyGoal = "latency-goal"
	FieldMaxAttempts = "max-attempts"
	FieldPriority    = "priority"
	FieldHomeRegions = "home-regions"
	FieldKeys        = "keys"
	FieldRate        = "rate"
	FieldBurst       = "burst"
	FieldBodyBytes   = "body-bytes"
)

// Kinds of findings of an audit.
const (
	KindNotNewer        = "version-not-newer" // hosts ignore the configuration
	KindUnmatchable     = "route-unmatchable" // no request matches the route
	KindUnusable        = "route-unusable"    // requests match, and all are refused
	KindNoKey           = "workspace-without-key"
	KindKeyless         = "key-empty" // requests without a key have it
	KindKeyOpensNothing = "key-opens-nothing"
	KindServiceUnused   = "service-without-route"
	KindWeights         = "split-weights"
	KindGoal            = "goal-above-timeout"
	KindTimeout         = "timeout-without-time"
	KindAttempts        = "attempts-exceed-timeout"
	KindBurst           = "burst-refill"
	KindRate            = "rate-without-effect"
	KindBody            = "body-exceeds-memory"
	KindHomes           = "homes-without-server"
	KindPriority        = "priority-without-effect"
)

// Auditor audits configurations. What is not known of the deployment is not checked.
type Auditor struct {
	active      int64             // generation in force; 0 when none is known
	memory      int64             // bytes; 0 when unknown
	regions     map[string]bool   // empty when unknown
	servers     map[[2]string]int // number of backend servers by service and region
	knowServers bool
}

// Option tells an auditor what is known of the deployment.
type Option func(*Auditor)

// WithActive sets the generation in force.
func WithActive(generation int64) Option {
	return func(a *Auditor) { a.active = generation }
}

// WithMemory sets the memory that a host's process may use, in bytes.
func WithMemory(bytes int64) Option {
	return func(a *Auditor) { a.memory = bytes }
}

// WithRegions sets the regions of the deployment.
func WithRegions(regions []string) Option {
	return func(a *Auditor) {
		for _, region := range regions {
			a.regions[region] = true
		}
	}
}

// WithServers sets the number of backend servers by service and region.
func WithServers(servers map[[2]string]int) Option {
	return func(a *Auditor) { a.servers, a.knowServers = servers, true }
}

// New returns an auditor.
func New(options ...Option) *Auditor {
	a := &Auditor{regions: map[string]bool{}}
	for _, option := range options {
		option(a)
	}
	return a
}

// Audit returns the findings on the items of a configuration, by position. The items
// may be inconsistent.
func (a *Auditor) Audit(generation int64, items cataloger.Items) []Finding {
	u := &audit{Auditor: a, items: items}
	u.checkGeneration(generation)
	u.checkRoutes()
	u.checkServices()
	u.checkWorkspaces()
	u.checkPriorities()
	u.checkBody()
	Sort(u.findings)
	return u.findings
}

// audit is one run of an auditor.
type audit struct {
	*Auditor
	items    cataloger.Items
	findings []Finding
}

func (u *audit) warn(origin cataloger.Origin, kind, field, format string, args ...any) {
	u.findings = append(u.findings, NewFinding(origin, Warning, kind, field, fmt.Sprintf(format, args...)))
}

func (u *audit) checkGeneration(generation int64) {
	switch {
	case generation <= 0:
		u.warn(cataloger.Origin{}, KindNotNewer, FieldGeneration, "hosts ignore version %x: only versions above 0 come into force", generation)
	case u.active > 0 && generation < u.active:
		u.warn(cataloger.Origin{}, KindNotNewer, FieldGeneration,
			"hosts ignore version %x (\"older configuration ignored\" in their logs): version %x is in force", generation, u.active)
	case u.active > 0 && generation == u.active:
		u.warn(cataloger.Origin{}, KindNotNewer, FieldGeneration, "hosts ignore the configuration: version %x is already in force", generation)
	}
}

func (u *audit) checkBody() {
	if limit := u.items.Limits.BodyBytes(); u.memory > 0 && limit > u.memory {
		u.warn(cataloger.Origin{}, KindBody, FieldBodyBytes,
			"bodies of %d bytes are accepted, but a host's process has %d bytes of memory", limit, u.memory)
	}
}

// Sort sorts findings by position, and findings at one position by field and kind.
func Sort(findings []Finding) {
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i], findings[j]
		switch {
		case a.Line() != b.Line():
			return a.Line() < b.Line()
		case a.Column() != b.Column():
			return a.Column() < b.Column()
		case a.field != b.field:
			return a.field < b.field
		case a.kind != b.kind:
			return a.kind < b.kind
		}
		return a.message < b.message
	})
}

package cataloger

import (
	"slices"
	"time"
)

// Split is one service and its weight in the distribution of a route's requests.
type Split struct {
	Origin          // that of the route unless it has its own
	service string  // exists in the catalog
	weight  float64 // against the other splits of the route
}

// NewSplit returns a split. Only the proportion of its weight to the other
// weights matters.
func NewSplit(service string, weight float64) Split {
	return Split{service: service, weight: weight}
}

// At returns a copy of the split with its own origin.
func (s Split) At(origin Origin) Split {
	s.Origin = origin
	return s
}

// Service returns the name of the service.
func (s Split) Service() string { return s.service }

// Weight returns the weight of the service.
func (s Split) Weight() float64 { return s.weight }

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Origin
	name        string
	host        string // as callers send it, without a port
	prefix      string // starts and ends with a slash
	splits      []Split
	idempotent  bool          // requests may be executed more than once
	timeout     time.Duration // deadline of the final response to the caller; above 0
	latencyGoal time.Duration // latency up to which a response counts as on time
	maxAttempts int           // backend servers that one request may be sent to; at least 1
	priority    int           // 0 is the most urgent
	public      bool          // needs no key
	sticky      bool          // backend servers are faster with objects they have handled before
	homeRegions []string      // regions that requests may be executed in; empty means all
}

// RouteOption sets one property of a route under construction.
type RouteOption func(*Route)

// NewRoute returns a route with the default timeout and latency goal, a single
// attempt, and requests that are not idempotent, unless options say otherwise.
func NewRoute(origin Origin, name, host, prefix string, splits []Split, options ...RouteOption) *Route {
	r := &Route{
		Origin: origin, name: name, host: host, prefix: prefix, splits: slices.Clone(splits),
		timeout: DefaultRequestTimeout, latencyGoal: DefaultLatencyTarget, maxAttempts: 1,
	}
	for _, option := range options {
		option(r)
	}
	for i := range r.splits {
		if r.splits[i].Origin == (Origin{}) {
			r.splits[i].Origin = origin
		}
	}
	return r
}

// WithIdempotent sets whether requests may be executed more than once.
func WithIdempotent(idempotent bool) RouteOption {
	return func(r *Route) { r.idempotent = idempotent }
}

// WithTimeout sets the time limit for the final response to a request.
func WithTimeout(d time.Duration) RouteOption {
	return func(r *Route) { r.timeout = d }
}

// WithLatencyGoal sets the latency up to which a response counts as on time.
func WithLatencyGoal(d time.Duration) RouteOption {
	return func(r *Route) { r.latencyGoal = d }
}

// WithMaxAttempts sets how many backend servers one request may be sent to. Values
// below 1 count as 1.
func WithMaxAttempts(n int) RouteOption {
	return func(r *Route) { r.maxAttempts = max(n, 1) }
}

// WithRoutePriority sets the priority; 0 is the most urgent.
func WithRoutePriority(priority int) RouteOption {
	return func(r *Route) { r.priority = priority }
}

// WithPublic sets whether requests without a key may use the route.
func WithPublic(open bool) RouteOption {
	return func(r *Route) { r.public = open }
}

// WithStickySessions sets whether backend servers are faster with objects that
// they have handled before.
func WithStickySessions(sticky bool) RouteOption {
	return func(r *Route) { r.sticky = sticky }
}

// WithRouteHomeRegions sets the regions that requests may be executed in.
func WithRouteHomeRegions(regions []string) RouteOption {
	return func(r *Route) { r.homeRegions = regions }
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Host returns the host name that the route matches.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches.
func (r *Route) Prefix() string { return r.prefix }

// Splits returns the services and their weights. The slice must not be changed.
func (r *Route) Splits() []Split { return r.splits }

// Idempotent reports whether requests may be executed more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout returns the time limit for the final response to a request.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyGoal returns the latency up to which a response counts as on time.
func (r *Route) LatencyGoal() time.Duration { return r.latencyGoal }

// MaxAttempts returns how many backend servers one request may be sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Priority returns the priority; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Public reports whether requests without a key may use the route.
func (r *Route) Public() bool { return r.public }

// StickySessions reports whether backend servers are faster with objects that
// they have handled before.
func (r *Route) StickySessions() bool { return r.sticky }

// HomeRegions returns the regions that requests may be executed in; an empty list
// means all.
func (r *Route) HomeRegions() []string { return r.homeRegions }

// CallerLimits holds limits on the size and duration of what callers send.
type CallerLimits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewCallerLimits returns limits with sizes in bytes; 0 means no limit.
func NewCallerLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) CallerLimits {
	return CallerLimits{
		headerBytes: headerBytes, bodyBytes: bodyBytes,
		headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// HeaderBytes returns the maximum size of a request header in bytes.
func (l CallerLimits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request body in bytes.
func (l CallerLimits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the time limit for receiving a request header.
func (l CallerLimits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay idle.
func (l CallerLimits) IdleTimeout() time.Duration { return l.idleTimeout }

type routeKey struct {
	host, prefix string
}

// Route returns the route of a host name with the longest matching path prefix,
// or nil.
func (c *Catalog) Route(host, path string) *Route {
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route := c.routes[routeKey{host, path[:end]}]; route != nil {
			return route
		}
	}
	return nil
}

// Routes returns all routes. The slice must not be changed.
func (c *Catalog) Routes() []*Route { return c.parts.Routes }

// CallerLimits returns the limits on what callers send.
func (c *Catalog) CallerLimits() CallerLimits { return c.parts.Limits }

func (v *validator) checkRoutes() {
	for _, route := range v.catalog.parts.Routes {
		key := routeKey{route.host, route.prefix}
		if other := v.catalog.routes[key]; other != nil {
			v.addProblem(route.Origin, "prefix", "routes %q and %q have the same host and prefix", other.name, route.name)
		}
		v.catalog.routes[key] = route
		if len(route.splits) == 0 {
			v.addProblem(route.Origin, "service", "route %q has no service", route.name)
		}
		for _, split := range route.splits {
			if v.catalog.services[split.service] == nil {
				v.addProblem(split.Origin, "service", "service %q does not exist", split.service)
			}
		}
	}
}

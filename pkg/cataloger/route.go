package cataloger

import "time"

// Split is one service's part of a route's requests.
type Split struct {
	service string // exists in the catalog
	weight  float64
}

// NewSplit returns a part; only its proportion to the other weights matters.
func NewSplit(service string, weight float64) Split {
	return Split{service: service, weight: weight}
}

// Service returns the name of the service.
func (s Split) Service() string { return s.service }

// Weight returns the part's weight.
func (s Split) Weight() float64 { return s.weight }

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Origin
	name       string
	host       string // as callers send it, without a port
	prefix     string // begins and ends with a slash
	splits     []Split
	idempotent bool          // requests may run more than once
	timeout    time.Duration // a caller has its final answer by then; above 0
	goal       time.Duration // latency within which an answer has its full worth
	maxTries   int           // backend servers that one request may be sent to; at least 1
	priority   int           // 0 is the most urgent
	open       bool          // needs no key
	sticky     bool          // backend servers are faster with objects they handled
	homes      []string      // regions it may run in; empty means all
}

// RouteOption sets one property of a route under construction.
type RouteOption func(*Route)

// NewRoute returns a route for idempotent requests with a single try.
func NewRoute(origin Origin, name, host, prefix string, splits []Split, options ...RouteOption) *Route {
	r := &Route{
		Origin: origin, name: name, host: host, prefix: prefix, splits: splits,
		timeout: DefaultRequestTimeout, goal: DefaultPromise, maxTries: 1,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// WithIdempotent tells whether requests may run more than once.
func WithIdempotent(idempotent bool) RouteOption {
	return func(r *Route) { r.idempotent = idempotent }
}

// WithTimeout sets the longest time that a request may wait for its answer.
func WithTimeout(d time.Duration) RouteOption {
	return func(r *Route) { r.timeout = d }
}

// WithGoal sets the latency within which an answer has its full worth.
func WithGoal(d time.Duration) RouteOption {
	return func(r *Route) { r.goal = d }
}

// WithMaxTries sets how many backend servers one request may be sent to.
func WithMaxTries(n int) RouteOption {
	return func(r *Route) { r.maxTries = max(n, 1) }
}

// WithRoutePriority sets the rank; 0 is the most urgent.
func WithRoutePriority(priority int) RouteOption {
	return func(r *Route) { r.priority = priority }
}

// WithOpen lets requests without a key use the route.
func WithOpen(open bool) RouteOption {
	return func(r *Route) { r.open = open }
}

// WithSticky tells that backend servers are faster with objects they handled.
func WithSticky(sticky bool) RouteOption {
	return func(r *Route) { r.sticky = sticky }
}

// WithRouteHomes sets the regions that requests may run in.
func WithRouteHomes(regions []string) RouteOption {
	return func(r *Route) { r.homes = regions }
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Host returns the host name the route is for.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix the route is for.
func (r *Route) Prefix() string { return r.prefix }

// Splits returns the services and their weights. The slice must not be changed.
func (r *Route) Splits() []Split { return r.splits }

// Idempotent reports whether requests may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout returns the longest time that a request may wait for its answer.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Goal returns the latency within which an answer has its full worth.
func (r *Route) Goal() time.Duration { return r.goal }

// MaxTries returns how many backend servers one request may be sent to.
func (r *Route) MaxTries() int { return r.maxTries }

// Priority returns the rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Open reports whether the route needs no key.
func (r *Route) Open() bool { return r.open }

// Sticky reports whether backend servers are faster with objects they handled.
func (r *Route) Sticky() bool { return r.sticky }

// Homes returns the regions that requests may run in, or none for all.
func (r *Route) Homes() []string { return r.homes }

// CallerLimits bound what callers may send, and how slowly.
type CallerLimits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewCallerLimits returns limits in bytes and time; 0 means no limit.
func NewCallerLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) CallerLimits {
	return CallerLimits{
		headerBytes: headerBytes, bodyBytes: bodyBytes,
		headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// HeaderBytes returns the largest request header.
func (l CallerLimits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the largest request body.
func (l CallerLimits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the longest time for a request header to arrive.
func (l CallerLimits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may stay unused.
func (l CallerLimits) IdleTimeout() time.Duration { return l.idleTimeout }

type routeKey struct {
	host, prefix string
}

// Route returns the route of a host name with the longest prefix that begins
// the path, or nil.
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

// CallerLimits returns what callers may send.
func (c *Catalog) CallerLimits() CallerLimits { return c.parts.Limits }

func (v *validator) allRoutes() {
	for _, route := range v.catalog.parts.Routes {
		key := routeKey{route.host, route.prefix}
		if other := v.catalog.routes[key]; other != nil {
			v.fail(route.Origin, "prefix", "routes %q and %q have the same host and prefix", other.name, route.name)
		}
		v.catalog.routes[key] = route
		if len(route.splits) == 0 {
			v.fail(route.Origin, "service", "route %q has no service", route.name)
		}
		for _, split := range route.splits {
			if v.catalog.services[split.service] == nil {
				v.fail(route.Origin, "service", "service %q does not exist", split.service)
			}
		}
	}
}

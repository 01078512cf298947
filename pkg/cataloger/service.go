package cataloger

import "time"

// Class is the precedence of a service when capacity is short.
type Class int

// Requests of urgent services are served first. Those of patient services may
// wait longer but are always answered.
const (
	Urgent Class = iota
	Patient
)

// String returns the name of the class in service files.
func (c Class) String() string {
	if c == Patient {
		return "patient"
	}
	return "urgent"
}

// Origin is the place in a file that an item was read from.
type Origin struct {
	file   string
	line   int // 1-based; 0 when unknown
	column int // 1-based, in bytes; 0 when unknown
}

// NewOrigin returns the origin at a 1-based line of a file.
func NewOrigin(file string, line int) Origin { return Origin{file: file, line: line} }

// NewPosition returns the origin at a 1-based line and column of a file.
func NewPosition(file string, line, column int) Origin {
	return Origin{file: file, line: line, column: column}
}

// File returns the name of the file.
func (o Origin) File() string { return o.file }

// Line returns the 1-based line number, or 0 when it is not known.
func (o Origin) Line() int { return o.line }

// Column returns the 1-based column in bytes, or 0 when it is not known.
func (o Origin) Column() int { return o.column }

// BackendServer is one server that requests to a service are forwarded to.
type BackendServer struct {
	Origin
	name        string
	address     string // host:port; unique within a service
	zone        string
	slots       int // maximum concurrent requests; at least 1
	connections int // maximum connections from all hosts together; at least 1
	draining    bool
}

// NewBackendServer returns a backend server in an availability zone.
func NewBackendServer(origin Origin, name, address, zone string, slots, connections int, draining bool) *BackendServer {
	return &BackendServer{
		Origin: origin, name: name, address: address, zone: zone,
		slots: slots, connections: connections, draining: draining,
	}
}

// Name returns the backend server's name, unique within its service.
func (b *BackendServer) Name() string { return b.name }

// Address returns the host:port that requests are sent to.
func (b *BackendServer) Address() string { return b.address }

// Zone returns the name of its availability zone.
func (b *BackendServer) Zone() string { return b.zone }

// Slots returns the maximum number of concurrent requests.
func (b *BackendServer) Slots() int { return b.slots }

// Connections returns the maximum number of connections from all hosts together.
func (b *BackendServer) Connections() int { return b.connections }

// Draining reports whether it must receive no new requests.
func (b *BackendServer) Draining() bool { return b.draining }

// Service is one service that callers reach through the entry hosts.
type Service struct {
	Origin
	name           string
	class          Class
	openRoutes     []string // path prefixes that need no key
	backendServers []*BackendServer
	requestTimeout time.Duration // whole request, from receipt to the end of the response header
	queueTimeout   time.Duration // maximum wait in the queue; at most requestTimeout
	retryBudget    float64       // retries as a share of first attempts, 0 to 1
	coldStart      time.Duration // time over which a new backend server's share of requests grows
	latencyTarget  time.Duration // target for the 99th percentile of latency
	healthPath     string        // path of the health check; starts with a slash
	connections    int           // maximum per backend server from all hosts together; 0 when unknown
	coldRate       float64       // requests per second that a cold backend server can serve; 0 when unknown
}

// ServiceOption sets one property of a service under construction.
type ServiceOption func(*Service)

// Default properties of services and, where they apply, routes.
const (
	DefaultRequestTimeout      = 30 * time.Second
	DefaultUrgentQueueTimeout  = 2 * time.Second
	DefaultPatientQueueTimeout = 20 * time.Second
	DefaultRetryBudget         = 0.1
	DefaultColdStart           = 10 * time.Second
	DefaultLatencyTarget       = 250 * time.Millisecond
)

// NewService returns a service with the defaults of its class.
func NewService(origin Origin, name string, class Class, options ...ServiceOption) *Service {
	s := &Service{
		Origin: origin, name: name, class: class,
		requestTimeout: DefaultRequestTimeout,
		queueTimeout:   DefaultUrgentQueueTimeout,
		retryBudget:    DefaultRetryBudget,
		coldStart:      DefaultColdStart,
		latencyTarget:  DefaultLatencyTarget,
	}
	if class == Patient {
		s.queueTimeout = DefaultPatientQueueTimeout
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// WithOpenRoutes sets the path prefixes that need no key.
func WithOpenRoutes(prefixes ...string) ServiceOption {
	return func(s *Service) { s.openRoutes = prefixes }
}

// WithBackendServers sets the backend servers.
func WithBackendServers(servers ...*BackendServer) ServiceOption {
	return func(s *Service) { s.backendServers = servers }
}

// WithTimeouts sets the time limits for a whole request and for its wait in the
// queue.
func WithTimeouts(request, queue time.Duration) ServiceOption {
	return func(s *Service) { s.requestTimeout, s.queueTimeout = request, queue }
}

// WithRetryBudget sets the retry limit as a share of first attempts, 0 to 1.
func WithRetryBudget(share float64) ServiceOption {
	return func(s *Service) { s.retryBudget = share }
}

// WithColdStart sets the time over which a new backend server's share of requests
// grows.
func WithColdStart(d time.Duration) ServiceOption {
	return func(s *Service) { s.coldStart = d }
}

// WithLatencyTarget sets the target for the 99th percentile of latency.
func WithLatencyTarget(d time.Duration) ServiceOption {
	return func(s *Service) { s.latencyTarget = d }
}

// WithHealthPath sets the path of the health check.
func WithHealthPath(path string) ServiceOption {
	return func(s *Service) { s.healthPath = path }
}

// WithConnections sets the maximum number of connections to each backend server
// from all hosts together.
func WithConnections(n int) ServiceOption {
	return func(s *Service) { s.connections = n }
}

// WithColdRate sets how many requests per second a cold backend server can serve.
func WithColdRate(perSecond float64) ServiceOption {
	return func(s *Service) { s.coldRate = perSecond }
}

// HealthPath returns the path of the health check.
func (s *Service) HealthPath() string { return s.healthPath }

// Connections returns the maximum number of connections to each backend server
// from all hosts together, or 0 when unknown.
func (s *Service) Connections() int { return s.connections }

// ColdRate returns how many requests per second a cold backend server can serve,
// or 0 when unknown.
func (s *Service) ColdRate() float64 { return s.coldRate }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Class returns the precedence of the service when capacity is short.
func (s *Service) Class() Class { return s.class }

// BackendServers returns the backend servers. The slice must not be changed.
func (s *Service) BackendServers() []*BackendServer { return s.backendServers }

// RequestTimeout returns the time limit for a whole request.
func (s *Service) RequestTimeout() time.Duration { return s.requestTimeout }

// QueueTimeout returns the time limit for a request's wait in the queue.
func (s *Service) QueueTimeout() time.Duration { return s.queueTimeout }

// RetryBudget returns the retry limit as a share of first attempts, 0 to 1.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// ColdStart returns the time over which a new backend server's share of requests
// grows.
func (s *Service) ColdStart() time.Duration { return s.coldStart }

// LatencyTarget returns the target for the 99th percentile of latency.
func (s *Service) LatencyTarget() time.Duration { return s.latencyTarget }

// IsPublic reports whether a path needs no key: it equals one of the open
// prefixes or lies below it.
func (s *Service) IsPublic(path string) bool {
	for _, prefix := range s.openRoutes {
		if path == prefix || (len(path) > len(prefix) && path[:len(prefix)] == prefix && path[len(prefix)] == '/') {
			return true
		}
	}
	return false
}

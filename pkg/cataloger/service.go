package cataloger

import "time"

// Class orders services when capacity is short.
type Class int

// Urgent services go first; patient ones may wait but always get an answer.
const (
	Urgent Class = iota
	Patient
)

// String returns the name used in service files.
func (c Class) String() string {
	if c == Patient {
		return "patient"
	}
	return "urgent"
}

// Origin is the place in a file that an item was read from.
type Origin struct {
	file string
	line int // 1-based
}

// NewOrigin returns a place in a file.
func NewOrigin(file string, line int) Origin { return Origin{file: file, line: line} }

// File returns the file's name.
func (o Origin) File() string { return o.file }

// Line returns the 1-based line.
func (o Origin) Line() int { return o.line }

// BackendServer is one target of a service.
type BackendServer struct {
	Origin
	name        string
	address     string // host:port; unique within a service
	zone        string
	slots       int // requests it runs at once; at least 1
	connections int // connections it accepts over all hosts; at least 1
	leaving     bool
}

// NewBackendServer returns a target in a zone.
func NewBackendServer(origin Origin, name, address, zone string, slots, connections int, leaving bool) *BackendServer {
	return &BackendServer{
		Origin: origin, name: name, address: address, zone: zone,
		slots: slots, connections: connections, leaving: leaving,
	}
}

// Name returns the backend server's name, unique within its service.
func (b *BackendServer) Name() string { return b.name }

// Address returns host:port.
func (b *BackendServer) Address() string { return b.address }

// Zone returns the availability zone it stands in.
func (b *BackendServer) Zone() string { return b.zone }

// Slots returns how many requests it runs at once.
func (b *BackendServer) Slots() int { return b.slots }

// Connections returns how many connections it accepts over all hosts.
func (b *BackendServer) Connections() int { return b.connections }

// Leaving reports whether it must get no new work.
func (b *BackendServer) Leaving() bool { return b.leaving }

// Service is one service that callers reach through the entry hosts.
type Service struct {
	Origin
	name           string
	class          Class
	openRoutes     []string // path prefixes that need no key
	backendServers []*BackendServer
	requestTimeout time.Duration // whole request, from receipt to the end of the answer's header
	queueTimeout   time.Duration // at most this long in the queue; below requestTimeout
	retryBudget    float64       // retries as a share of first tries, 0 to 1
	coldStart      time.Duration // a new backend server's share of work grows over this time
	promise        time.Duration // promised 99th percentile of latency
	healthPath     string        // path of the health check; begins with a slash
	connections    int           // each backend server takes this many, from all hosts together; 0 when not known
	coldRate       float64       // requests a second that a cold backend server bears; 0 when not known
}

// ServiceOption sets one property of a service under construction.
type ServiceOption func(*Service)

// Defaults of a service's properties.
const (
	DefaultRequestTimeout = 30 * time.Second
	DefaultUrgentQueue    = 2 * time.Second
	DefaultPatientQueue   = 20 * time.Second
	DefaultRetryBudget    = 0.1
	DefaultColdStart      = 10 * time.Second
	DefaultPromise        = 250 * time.Millisecond
)

// NewService returns a service with the defaults of its class.
func NewService(origin Origin, name string, class Class, options ...ServiceOption) *Service {
	s := &Service{
		Origin: origin, name: name, class: class,
		requestTimeout: DefaultRequestTimeout,
		queueTimeout:   DefaultUrgentQueue,
		retryBudget:    DefaultRetryBudget,
		coldStart:      DefaultColdStart,
		promise:        DefaultPromise,
	}
	if class == Patient {
		s.queueTimeout = DefaultPatientQueue
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// WithOpenRoutes names path prefixes that need no key.
func WithOpenRoutes(prefixes ...string) ServiceOption {
	return func(s *Service) { s.openRoutes = prefixes }
}

// WithBackendServers sets the targets.
func WithBackendServers(servers ...*BackendServer) ServiceOption {
	return func(s *Service) { s.backendServers = servers }
}

// WithTimeouts sets the limits of a whole request and of its wait in the queue.
func WithTimeouts(request, queue time.Duration) ServiceOption {
	return func(s *Service) { s.requestTimeout, s.queueTimeout = request, queue }
}

// WithRetryBudget sets retries as a share of first tries.
func WithRetryBudget(share float64) ServiceOption {
	return func(s *Service) { s.retryBudget = share }
}

// WithColdStart sets the time over which a new backend server's share grows.
func WithColdStart(d time.Duration) ServiceOption {
	return func(s *Service) { s.coldStart = d }
}

// WithPromise sets the promised 99th percentile of latency.
func WithPromise(d time.Duration) ServiceOption {
	return func(s *Service) { s.promise = d }
}

// WithHealthPath sets the path of the health check.
func WithHealthPath(path string) ServiceOption {
	return func(s *Service) { s.healthPath = path }
}

// WithConnections sets how many connections each backend server takes from all
// hosts together.
func WithConnections(n int) ServiceOption {
	return func(s *Service) { s.connections = n }
}

// WithColdRate sets how many requests a second a cold backend server bears.
func WithColdRate(perSecond float64) ServiceOption {
	return func(s *Service) { s.coldRate = perSecond }
}

// HealthPath returns the path of the health check.
func (s *Service) HealthPath() string { return s.healthPath }

// Connections returns how many connections a backend server takes, or 0.
func (s *Service) Connections() int { return s.connections }

// ColdRate returns how many requests a second a cold backend server bears, or 0.
func (s *Service) ColdRate() float64 { return s.coldRate }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Class returns how urgent the service is.
func (s *Service) Class() Class { return s.class }

// BackendServers returns the targets. The slice must not be changed.
func (s *Service) BackendServers() []*BackendServer { return s.backendServers }

// RequestTimeout returns the limit for a whole request.
func (s *Service) RequestTimeout() time.Duration { return s.requestTimeout }

// QueueTimeout returns the limit for the wait in the queue.
func (s *Service) QueueTimeout() time.Duration { return s.queueTimeout }

// RetryBudget returns retries as a share of first tries.
func (s *Service) RetryBudget() float64 { return s.retryBudget }

// ColdStart returns the time over which a new backend server's share grows.
func (s *Service) ColdStart() time.Duration { return s.coldStart }

// Promise returns the promised 99th percentile of latency.
func (s *Service) Promise() time.Duration { return s.promise }

// Open reports whether a path needs no key.
func (s *Service) Open(path string) bool {
	for _, prefix := range s.openRoutes {
		if path == prefix || (len(path) > len(prefix) && path[:len(prefix)] == prefix && path[len(prefix)] == '/') {
			return true
		}
	}
	return false
}

package parser

import (
	"net"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const (
	maxTimeout     = time.Hour
	maxSlots       = 100_000   // per backend server
	maxConnections = 1_000_000 // per backend server
)

func origin(m *decoder.Mapping) cataloger.Origin {
	return cataloger.NewOrigin(m.File(), m.Line())
}

func parseService(m *decoder.Mapping) cataloger.Items {
	name := m.Required("service")
	class := cataloger.Urgent
	queueTimeout := cataloger.DefaultUrgentQueueTimeout
	if m.Choice("class", "urgent", "urgent", "patient") == "patient" {
		class = cataloger.Patient
		queueTimeout = cataloger.DefaultPatientQueueTimeout
	}
	requestTimeout := m.Duration("request-timeout", cataloger.DefaultRequestTimeout, time.Millisecond, maxTimeout)
	queueTimeout = m.Duration("queue-timeout", min(queueTimeout, requestTimeout), 0, maxTimeout)
	if queueTimeout > requestTimeout {
		m.AddProblem("queue-timeout", "%v is above the request timeout %v", queueTimeout, requestTimeout)
	}
	service := cataloger.NewService(origin(m), name, class,
		cataloger.WithOpenRoutes(openRoutes(m)...),
		cataloger.WithTimeouts(requestTimeout, queueTimeout),
		cataloger.WithRetryBudget(m.Float("retry-budget", cataloger.DefaultRetryBudget, 0, 1)),
		cataloger.WithColdStart(m.Duration("cold-start", cataloger.DefaultColdStart, 0, maxTimeout)),
		cataloger.WithLatencyTarget(m.Duration("promise", cataloger.DefaultLatencyTarget, time.Millisecond, maxTimeout)),
		cataloger.WithBackendServers(backendServers(m)...),
	)
	return cataloger.Items{Services: []*cataloger.Service{service}}
}

func openRoutes(m *decoder.Mapping) []string {
	routes := m.Strings("open-routes")
	for _, route := range routes {
		if !strings.HasPrefix(route, "/") {
			m.AddProblem("open-routes", "route %q does not start with a slash", route)
		}
	}
	return routes
}

func backendServers(m *decoder.Mapping) []*cataloger.BackendServer {
	var servers []*cataloger.BackendServer
	for _, entry := range m.Mappings("backend-servers") {
		address := entry.Required("address")
		if _, _, err := net.SplitHostPort(address); err != nil {
			entry.AddProblem("address", "%q is not host:port", address)
		}
		servers = append(servers, cataloger.NewBackendServer(
			origin(entry),
			entry.String("name", address),
			address,
			entry.Required("zone"),
			entry.Int("slots", 8, 1, maxSlots),
			entry.Int("connections", 256, 1, maxConnections),
			entry.Bool("leaving", false),
		))
	}
	if len(servers) == 0 {
		m.AddProblem("backend-servers", "at least one backend server is required")
	}
	return servers
}

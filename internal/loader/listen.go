package loader

import (
	"net"
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Listen is the settings section for the daemon's listeners.
type Listen struct {
	data          string
	control       string
	certificate   string // PEM file; together with keyFile it enables TLS for callers
	keyFile       string
	headerTimeout time.Duration
	bodyTimeout   time.Duration // maximum pause while a caller sends its body
	idleTimeout   time.Duration
	stallTimeout  time.Duration // how long a caller may take no byte of a response
	maxHeader     int           // bytes
	maxConns      int           // open connections of each listener
}

// Data returns the host:port of the listener for callers.
func (l Listen) Data() string { return l.data }

// Control returns the host:port of the listener for other hosts and operators.
func (l Listen) Control() string { return l.control }

// Certificate returns the name of the PEM file with the certificate of the
// callers' listener, or "".
func (l Listen) Certificate() string { return l.certificate }

// KeyFile returns the name of the PEM file with the certificate's private key, or
// "".
func (l Listen) KeyFile() string { return l.keyFile }

// HeaderTimeout returns the time limit for receiving a request header.
func (l Listen) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns the maximum pause while a caller sends its body.
func (l Listen) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long an idle connection is kept open.
func (l Listen) IdleTimeout() time.Duration { return l.idleTimeout }

// StallTimeout returns how long a caller may take no byte of a response.
func (l Listen) StallTimeout() time.Duration { return l.stallTimeout }

// MaxConnections returns the maximum number of open connections of each listener.
func (l Listen) MaxConnections() int { return l.maxConns }

// MaxHeaderBytes returns the maximum size of a request header in bytes.
func (l Listen) MaxHeaderBytes() int { return l.maxHeader }

func readListen(m *decoder.Mapping) Listen {
	l := Listen{
		data:          requiredAddress(m, "data"),
		control:       requiredAddress(m, "control"),
		certificate:   m.String("certificate", ""),
		keyFile:       m.String("key-file", ""),
		headerTimeout: m.Duration("header-timeout", 5*time.Second, time.Millisecond, time.Hour),
		bodyTimeout:   m.Duration("body-timeout", 10*time.Second, time.Millisecond, time.Hour),
		idleTimeout:   m.Duration("idle-timeout", 2*time.Minute, time.Second, time.Hour),
		stallTimeout:  m.Duration("stall-timeout", 20*time.Second, time.Millisecond, time.Hour),
		maxConns:      m.Int("max-connections", 4096, 1, 1<<20),
		maxHeader:     m.Int("max-header-bytes", 32<<10, 1<<10, 1<<20),
	}
	if (l.certificate == "") != (l.keyFile == "") {
		m.AddProblem("certificate", "certificate and key-file must be set together")
	}
	return l
}

func requiredAddress(m *decoder.Mapping, name string) string {
	value := m.Required(name)
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		m.AddProblem(name, "%q is not host:port", value)
		return value
	}
	if net.ParseIP(host) == nil {
		m.AddProblem(name, "%q is not an IP number", host)
	}
	return value
}

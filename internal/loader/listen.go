package loader

import (
	"net"
	"time"

	"magnoliahill.example/magnoliahill/internal/reader"
)

// Listen is the settings section for the daemon's listeners.
type Listen struct {
	data          string
	control       string
	certificate   string // PEM file; with keyFile it turns TLS on for callers
	keyFile       string
	headerTimeout time.Duration
	bodyTimeout   time.Duration // longest pause while a caller sends its body
	idleTimeout   time.Duration
	maxHeader     int // bytes
}

// Data returns host:port for callers.
func (l Listen) Data() string { return l.data }

// Control returns host:port for other hosts and operators.
func (l Listen) Control() string { return l.control }

// Certificate returns the PEM file of the callers' listener, or "".
func (l Listen) Certificate() string { return l.certificate }

// KeyFile returns the PEM file of the certificate's key, or "".
func (l Listen) KeyFile() string { return l.keyFile }

// HeaderTimeout returns how long a caller may take to send its header.
func (l Listen) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyTimeout returns the longest pause while a caller sends its body.
func (l Listen) BodyTimeout() time.Duration { return l.bodyTimeout }

// IdleTimeout returns how long an idle connection is kept.
func (l Listen) IdleTimeout() time.Duration { return l.idleTimeout }

// MaxHeader returns the most bytes of a request's header.
func (l Listen) MaxHeader() int { return l.maxHeader }

func readListen(m *reader.Mapping) Listen {
	l := Listen{
		data:          address(m, "data"),
		control:       address(m, "control"),
		certificate:   m.String("certificate", ""),
		keyFile:       m.String("key-file", ""),
		headerTimeout: m.Duration("header-timeout", 5*time.Second, time.Millisecond, time.Hour),
		bodyTimeout:   m.Duration("body-timeout", 10*time.Second, time.Millisecond, time.Hour),
		idleTimeout:   m.Duration("idle-timeout", 2*time.Minute, time.Second, time.Hour),
		maxHeader:     m.Int("max-header-bytes", 32<<10, 1<<10, 1<<20),
	}
	if (l.certificate == "") != (l.keyFile == "") {
		m.Fail("certificate", "certificate and key-file go together")
	}
	return l
}

func address(m *reader.Mapping, name string) string {
	value := m.Required(name)
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		m.Fail(name, "%q is not host:port", value)
		return value
	}
	if net.ParseIP(host) == nil {
		m.Fail(name, "%q is not an IP number", host)
	}
	return value
}

package loader

import (
	"net/url"
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Platform is the settings section for the platform's store and host list.
type Platform struct {
	url       string
	timeout   time.Duration
	watchWait time.Duration
	hostsPoll time.Duration
}

// URL returns the base URL of the platform.
func (p Platform) URL() string { return p.url }

// Timeout returns the time limit for one call.
func (p Platform) Timeout() time.Duration { return p.timeout }

// WatchWait returns the maximum wait of one watch call.
func (p Platform) WatchWait() time.Duration { return p.watchWait }

// HostsPollInterval returns the interval at which the host list is read.
func (p Platform) HostsPollInterval() time.Duration { return p.hostsPoll }

func readPlatform(m *decoder.Mapping) Platform {
	text := m.Required("url")
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme == "" || parsed.Host == "" {
		m.AddProblem("url", "%q is not a URL such as http://127.0.0.1:7000", text)
	}
	return Platform{
		url:       text,
		timeout:   m.Duration("timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		watchWait: m.Duration("watch-wait", 20*time.Second, 100*time.Millisecond, time.Minute),
		hostsPoll: m.Duration("hosts-poll", 2*time.Second, 50*time.Millisecond, time.Minute),
	}
}

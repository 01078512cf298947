package loader

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
)

// Membership is the settings section for heartbeats.
type Membership struct {
	heartbeat        time.Duration
	heartbeatTimeout time.Duration
	peers            []string
}

// HeartbeatInterval returns the interval of the heartbeats to each other host.
func (m Membership) HeartbeatInterval() time.Duration { return m.heartbeat }

// HeartbeatTimeout returns the heartbeat timeout, after which a host no longer
// counts as live.
func (m Membership) HeartbeatTimeout() time.Duration { return m.heartbeatTimeout }

// Peers returns the control addresses of the hosts to contact first when the host
// list is unavailable.
func (m Membership) Peers() []string { return m.peers }

func readMembership(m *decoder.Mapping) Membership {
	s := Membership{
		heartbeat:        m.Duration("heartbeat", time.Second, 10*time.Millisecond, time.Minute),
		heartbeatTimeout: m.Duration("silence", 3*time.Second, 50*time.Millisecond, 10*time.Minute),
		peers:            m.Strings("peers"),
	}
	if s.heartbeatTimeout < 2*s.heartbeat {
		m.AddProblem("silence", "%v is less than two heartbeats of %v", s.heartbeatTimeout, s.heartbeat)
	}
	return s
}

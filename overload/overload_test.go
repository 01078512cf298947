package overload_test

import (
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/platform"
)

const ordinaryTries = 5 // requests that an ordinary caller sends until one is answered

// runScenario lets the crowd of a scenario act, and checks that the process stays within
// its limits and that ordinary callers, the platform and operators are served beside it
// and after it.
func runScenario(t *testing.T, name string) {
	s := loadScenario(t, name)
	h := startHost(t, s.Limits)
	samples := h.startSampler()
	crowd := h.gather(s.Crowd)
	h.checkService("beside the crowd")
	crowd.leave()
	h.checkService("after the crowd")
	peak, sockets := samples.finish()
	t.Logf("memory at its peak: %.1f MB resident, %.1f MB received and not read; %d sockets", megabytes(peak.resident), megabytes(peak.unread), sockets)
	if bound := int64(s.Limits.MemoryMB) << 20; peak.memory() > bound {
		t.Errorf("%.1f MB in use, %d are allowed", megabytes(peak.memory()), s.Limits.MemoryMB)
	}
	if bound := s.Limits.Descriptors - reservedDescriptors; sockets > bound {
		t.Errorf("%d sockets open, %d are allowed", sockets, bound)
	}
	if !h.alive() {
		t.Error("the process has ended")
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// checkService checks that one ordinary request is answered, that look-ups and readiness
// checks are, and that a change of the configuration arrives.
func (h *host) checkService(when string) {
	h.t.Helper()
	if !h.alive() {
		h.t.Fatalf("the process has ended %s", when)
	}
	h.checkAnswered(when, "a request", func() error { return h.request("/read/", "") })
	h.checkAnswered(when, "an order", func() error { return h.request("/read/", "brooms") })
	h.checkAnswered(when, "a look-up", func() error { return h.ask("Directory", platform.LookupPath+"?Name=shop&Region=r0&Zone=z0") })
	h.checkAnswered(when, "a readiness check", func() error { return h.ask("Ready", platform.ReadyPath) })
	added := "added" + string(rune('a'+h.version))
	h.configure("read", added)
	h.eventually("a change of the configuration arrives "+when, func() bool { return h.request("/"+added+"/", "") == nil })
}

// checkAnswered checks that one of a few tries is answered.
func (h *host) checkAnswered(when, what string, try func() error) {
	h.t.Helper()
	var err error
	for range ordinaryTries {
		if err = try(); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	h.t.Errorf("%s is not answered %s: %v", what, when, err)
}

func TestLongResponsesThatNobodyReadsStayWithinTheMemory(t *testing.T) {
	runScenario(t, "long-responses")
}

func TestLongResponsesToRequestsSentAheadStayWithinTheMemory(t *testing.T) {
	runScenario(t, "long-responses-ahead")
}

func TestManyShortResponsesThatNobodyReadsStayWithinTheMemory(t *testing.T) {
	runScenario(t, "short-responses")
}

func TestHeadsThatDoNotEndStayWithinTheMemory(t *testing.T) {
	runScenario(t, "endless-heads")
}

func TestUploadsThatTrickleStayWithinTheMemory(t *testing.T) {
	runScenario(t, "trickling-uploads")
}

func TestBytesSentAheadStayWithinTheMemory(t *testing.T) {
	runScenario(t, "bytes-ahead")
}

func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-callers")
}

func TestSilentConnectionsToTheDirectoryLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-directory")
}

func TestSilentConnectionsToTheReadinessListenerLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-ready")
}

func TestSilentConnectionsToTheControlListenerLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-control")
}

func TestSilentConnectionsToTheRelayListenerLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-relays")
}

func TestSilentConnectionsToTheMetricsListenerLeaveDescriptors(t *testing.T) {
	runScenario(t, "silent-metrics")
}

func TestHeadsThatDoNotEndAtTheDirectoryStayWithinTheMemory(t *testing.T) {
	runScenario(t, "endless-heads-directory")
}

func TestHeadsThatDoNotEndAtAllListenersStayWithinTheMemory(t *testing.T) {
	runScenario(t, "endless-heads-everywhere")
}

func TestClientsThatComeBackAtOnceLeaveDescriptors(t *testing.T) {
	runScenario(t, "returning-clients")
}

// TestCallsEndThoughNobodyReadsTheirResponses: the time limit of the route has passed, so
// that nobody waits for the responses any more.
func TestCallsEndThoughNobodyReadsTheirResponses(t *testing.T) {
	s := loadScenario(t, "calls-past-their-time")
	h := startHost(t, s.Limits)
	before := h.usage().sockets
	crowd := h.gather(s.Crowd)
	defer crowd.leave()
	h.eventually("the host has closed the connections of the crowd", func() bool { return h.usage().sockets <= before+10 })
	h.checkService("after the calls")
}

// TestSlowCallerGetsItsWholeResponse: in calm a caller may take its time within the limits.
func TestSlowCallerGetsItsWholeResponse(t *testing.T) {
	h := startHost(t, limits{MemoryMB: 96, Descriptors: 456})
	h.checkSlowCaller(4<<20, 64<<10, 150*time.Millisecond)
}

// Package overload_test runs the built program as a separate process on the loopback
// network with little memory and few descriptors, and lets crowds of clients take as much
// of both as they can. It checks that the process lives within its limits and that
// ordinary callers are served.
package overload_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/platform"
	"magnoliahill.example/magnoliahill/platform/standin"
)

// host is one entry host, run as a process, with its store and one backend server.
type host struct {
	t        *testing.T
	limits   limits
	store    *standin.Store
	backend  *httptest.Server
	command  *exec.Cmd
	exited   chan struct{}
	log      string // path of the file with what the process writes
	address  string // IP address
	port     int
	version  int          // of the configuration
	requests atomic.Int64 // sent by ordinary callers
}

// limits are those of the host's settings.
type limits struct {
	MemoryMB    int     `yaml:"memory-mb"`
	Descriptors int     `yaml:"descriptors"`
	TimeoutS    float64 `yaml:"timeout-s"` // of the routes
}

// reservedDescriptors are those that a process has for files; the others are for sockets
// and pipes.
const reservedDescriptors = 200

var ports = map[string]int{"Front": 0, "Ready": 1, "Control": 2, "Directory": 3, "Peers": 4, "Metrics": 9}

var binary string // path of the program

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "magnoliahill")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/magnoliahill").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// startHost starts a host and waits until it serves requests.
func startHost(t *testing.T, l limits) *host {
	t.Helper()
	h := &host{t: t, limits: l, store: standin.New(), exited: make(chan struct{})}
	store := httptest.NewServer(h.store)
	t.Cleanup(func() { h.store.Close(); store.Close() })
	h.startBackend()
	listener, err := target.Listen()
	h.must(err)
	free := listener.Addr().(*net.TCPAddr)
	h.address, h.port = free.IP.String(), 20000+free.Port%10000
	h.must(listener.Close())
	h.configure("read")
	h.store.Put(platform.KindServers, "i-1", map[string]any{
		"Service": "svc", "Address": strings.TrimPrefix(h.backend.URL, "http://"), "Zone": "z0", "Slots": 4000, "State": "ready",
	})
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	h.must(os.WriteFile(settings, []byte(h.settings(strings.TrimPrefix(store.URL, "http://"))), 0o600))
	h.log = filepath.Join(t.TempDir(), "log")
	log, err := os.Create(h.log)
	h.must(err)
	h.command = exec.Command(binary, "join", "--metrics-port", strconv.Itoa(h.port+ports["Metrics"]), settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.must(h.command.Start())
	go func() {
		_ = h.command.Wait() // a failure shows in alive
		close(h.exited)
	}()
	t.Cleanup(h.stop)
	h.eventually("the host serves requests", func() bool { return h.request("/read/", "") == nil })
	return h
}

func (h *host) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// stop kills the process and copies its log to the test's one if that has failed.
func (h *host) stop() {
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.exited
	if !h.t.Failed() {
		return
	}
	data, err := os.ReadFile(h.log)
	if err == nil {
		lines := bytes.Split(data, []byte("\n"))
		h.t.Logf("end of the host's log:\n%s", bytes.Join(lines[max(0, len(lines)-15):], []byte("\n")))
	}
}

func (h *host) settings(store string) string {
	return fmt.Sprintf("NodeName: host-1\nZone: z0\nRegion: r0\nIpAddress: %s\nZones: {z0: r0}\n"+
		"Listen: {Front: %q, Ready: %q, Directory: %q, Control: %q}\nInternalPortRange: [%d, %d]\nSeeds: [%q]\n"+
		"Platform: {Address: %q}\nLimits: {MemoryMb: %d, FileDescriptors: %d}\nBounds: [GraceS=6, ttl_max_s=1, RetryBudgetRatio=0.2, BudgetExtraAttempts=50]\n",
		h.address, h.listener("Front"), h.listener("Ready"), h.listener("Directory"), h.listener("Control"), h.port+ports["Peers"], h.port+ports["Peers"],
		h.listener("Control"), store, h.limits.MemoryMB, h.limits.Descriptors)
}

// listener returns the address of one of the host's listeners.
func (h *host) listener(name string) string {
	return net.JoinHostPort(h.address, strconv.Itoa(h.port+ports[name]))
}

// configure writes the next version of the configuration, with the named routes.
func (h *host) configure(names ...string) {
	h.version++
	timeout := h.limits.TimeoutS
	if timeout == 0 {
		timeout = 60
	}
	routes := map[string]any{}
	for _, name := range names {
		routes[name] = map[string]any{
			"Host": "shop", "PathPrefix": "/" + name + "/", "Kind": "safe", "TimeoutS": timeout, "LatencyGoalS": 10,
			"MaxAttempts": 2, "Service": "svc", "Public": true,
		}
	}
	h.store.Put(platform.KindConfig, "main", map[string]any{
		"Version": fmt.Sprintf("%08x", h.version), "Routes": routes, "Services": map[string]any{"svc": map[string]any{"ColdStartS": 0}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

// startBackend starts a backend server whose responses have as many bytes as the query
// asks for.
func (h *host) startBackend() {
	headers := platform.HeaderNames()
	listener, err := target.Listen()
	h.must(err)
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	h.backend = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(r.URL.Query().Get("size"))
		if err != nil {
			size = 100
		}
		id := r.Header.Get(headers.RequestID)
		w.Header().Set(headers.RequestID, id)
		w.Header().Set(headers.ResponseStamp, "s."+id)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		for err = nil; err == nil && size > 0; size -= len(chunk) {
			_, err = w.Write(chunk[:min(size, len(chunk))])
		}
	})}}
	h.backend.Start()
	h.t.Cleanup(func() { h.backend.CloseClientConnections(); h.backend.Close() })
}

// request sends one ordinary request on a new connection, with a body unless that is empty.
// The error says why it was not answered.
func (h *host) request(path, body string) error {
	headers := platform.HeaderNames()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+h.listener("Front")+path+"?size=2000", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "shop"
	req.Header.Set(headers.RequestID, fmt.Sprint("ordinary-", h.requests.Add(1)))
	req.Header.Set(headers.Deadline, "20000")
	size, err := h.get(req)
	if err == nil && size != 2000 {
		err = fmt.Errorf("response of %d bytes", size)
	}
	return err
}

// ask sends a request without a route to one of the host's listeners.
func (h *host) ask(listener, path string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.listener(listener)+path, nil)
	if err != nil {
		return err
	}
	_, err = h.get(req)
	return err
}

// get returns the size of the body of a response with status 200.
func (h *host) get(req *http.Request) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, body.String())
	}
	return body.Len(), nil
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// eventually waits until a condition holds. The limit on the wait only ends a test that
// would fail anyway.
func (h *host) eventually(what string, holds func() bool) {
	h.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		if !h.alive() {
			h.t.Fatalf("the process has ended before %s", what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Errorf("not so after a minute: %s", what)
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/platform/standin"
)

const (
	program     = "target/magnoliahill"
	metricsPort = 9190 // of the deploy file
	startLimit  = 15 * time.Second
	hostName    = "ficu95.example"
)

// deployment is a small installation: a store, targets and hosts on loopback addresses.
type deployment struct {
	trouble bool // the disruption is played
	folder  string
	temp    string
	network string // first three parts of the loopback addresses
	port    int    // first of the ports of each host
	store   *standin.Store
	server  *httptest.Server
	hosts   []*host
	targets []*target

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	began    time.Time
	requests map[string]*request
	closed   bool
}

// host is one entry host.
type host struct {
	name, zone, ip string
	front          string // host:port
	command        *exec.Cmd
	exited         chan struct{}
}

// withoutEra removes the header in which the project's store stand-in states its era,
// which the platform's pages do not name.
type withoutEra struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// newDeployment starts the store and opens the record.
func newDeployment(folder string) (*deployment, error) {
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, store: standin.New(),
		requests: map[string]*request{}, began: time.Now(),
	}
	var err error
	if d.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, errors.Wrap(err, "creating temporary folder")
	}
	if d.file, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, errors.Wrap(err, "creating record")
	}
	d.record = bufio.NewWriter(d.file)
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.store.ServeHTTP(&withoutEra{w}, r)
	}))
	if err := d.findNetwork(); err != nil {
		return nil, err
	}
	d.notef("trouble: %v", d.trouble)
	return d, nil
}

// findNetwork finds loopback addresses and ports that are free.
func (d *deployment) findNetwork() error {
	for try := range 50 {
		n := os.Getpid() + try*7919
		d.network = fmt.Sprintf("127.%d.%d.", 60+n/250%100, n%250)
		d.port = 21000 + n%9000
		if d.free() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) free() bool {
	for i := range 3 {
		for _, port := range []int{metricsPort, d.port + 1, d.port + 2, d.port + 3, d.port + 4, d.port + 5} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// notef writes a line to the record and to the standard output.
func (d *deployment) notef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	_, _ = d.record.WriteString(line + "\n") // the standard output has it as well
}

// close ends all processes and listeners and completes the record.
func (d *deployment) close() {
	for _, h := range d.hosts {
		_ = h.command.Process.Kill() // fails if it has ended
		<-h.exited
	}
	for _, t := range d.targets {
		_ = t.listener.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	d.writeRequests()
	_ = d.record.Flush()
	_ = d.file.Close()
	_ = os.RemoveAll(d.temp)
}

// route returns a route of the configuration.
func route(prefix, kind, service string, timeout float64) map[string]any {
	return map[string]any{
		"Name": prefix, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutS": timeout, "LatencyGoalS": 0.6,
		"Priority": 1, "Service": service, "MaxAttempts": 2, "Public": true, "StickySessions": false, "HomeRegions": []string{},
	}
}

// configure writes the operator's configuration.
func (d *deployment) configure(routes map[string]any, services ...string) {
	table := map[string]any{}
	for _, name := range services {
		table[name] = map[string]any{"HealthCheckPath": "/health", "ConnectionLimit": 1960, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 7.6}
	}
	d.store.Put("config", "main", map[string]any{
		"Version": "00000007", "Routes": routes, "Services": table,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

const settings = `NodeName: %q
Role: "host"
MachineClass: "front"
Serves: ["front", "control", "directory"]
IpAddress: %q
Zone: %q
Region: "kigali"
Zones: {kigali-a: "kigali", kigali-b: "kigali"}
Listen: {Front: %q, Ready: %q, Control: %q, Directory: %q}
InternalPortRange: [%d, %d]
Seeds: [%s]
FirstStart: true
LossCounted: false
Limits: {CpuShare: 0.8, Cores: 1, MemoryMb: %d, FileDescriptors: %d, LinkMbps: 200.0, DiskMb: 0}
DataDirectory: null
Discovery: "platform"
Entry: "directory"
HeartbeatS: 1.5
Contracts: ["base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Bounds: ["SeedLagS=3", "AddressReuseS=2", "StabilityWindowS=3", "DrainS=2.5", "GraceS=6", "LossSlackS=0.2", "ConfigApplyS=2.5",
  "RetryBudgetRatio=0.2", "BudgetWindowS=10", "BudgetExtraAttempts=56", "ColdOverage=1.5", "ColdSlack=5", "ttl_max_s=5", "MaxRegionShift=0.15"]
Platform: {Address: %q, form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, MinTtlS: 1}
`

// machine holds the limits of a machine.
type machine struct{ memoryMB, descriptors int }

// startHosts starts two hosts in two zones, and waits until they are ready and a while
// longer, so that they are in touch.
func (d *deployment) startHosts(m machine) error {
	zones := []string{"kigali-a", "kigali-b"}
	address := func(i, offset int) string { return fmt.Sprintf("%s%d:%d", d.network, i+1, d.port+offset) }
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", address(i, 3)))
	}
	for i, zone := range zones {
		h := &host{name: "front-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s%d", d.network, i+1), front: address(i, 1)}
		file := filepath.Join(d.temp, h.name+".yaml")
		text := fmt.Sprintf(settings, h.name, h.ip, zone, h.front, address(i, 2), address(i, 3), address(i, 4), d.port+5, d.port+9,
			strings.Join(seeds, ", "), m.memoryMB, m.descriptors, strings.TrimPrefix(d.server.URL, "http://"))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "writing settings")
		}
		if err := d.start(h, file); err != nil {
			return err
		}
	}
	for i := range zones {
		if err := waitReady("http://" + address(i, 2) + "/magnoliahill/readiness"); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // longer than StabilityWindowS
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host, file string) error {
	h.command = exec.Command(program, "join", "--metrics-port", fmt.Sprint(metricsPort))
	h.command.Env = []string{"MAGNOLIAHILL_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	if err := h.command.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", h.name)
	}
	h.exited = make(chan struct{})
	go func() {
		err := h.command.Wait()
		d.notef("%s ended: %v", h.name, err)
		close(h.exited)
	}()
	d.hosts = append(d.hosts, h)
	d.notef("%s started, front %s", h.name, h.front)
	return nil
}

func waitReady(url string) error {
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("not ready: %s", url)
}

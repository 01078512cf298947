package commander

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/controller"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/internal/verifier"
	"magnoliahill.example/magnoliahill/platform"
)

const (
	storeDialTimeout = 500 * time.Millisecond // a store in another region is 20 ms away
	storeKeepAlive   = time.Second            // idle time before and interval between keep-alive probes
	heapFraction     = 0.6                    // share of the memory limit that the heap may use
)

func init() {
	register("join", "Run an entry host on the users' platform",
		"Runs an entry host with the settings written by the platform until SIGTERM or SIGINT, then finishes the requests in progress and stops. SIGHUP reloads the settings.",
		func(out *output) command { return &joinCommand{out: out} })
}

type joinCommand struct {
	out     *output
	Metrics int `long:"metrics-port" description:"port that serves metrics (counters and latency histograms); 0 disables it" default:"0"`
	Args    struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file (default: the one named by the platform)"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *joinCommand) Execute([]string) error {
	file := &settingsFile{path: c.Args.Settings}
	if file.path == "" {
		file.path = platform.SettingsFile()
	}
	if file.path == "" {
		return withExitCode(ExitUsage, errors.New("no settings file given, and the platform names none"))
	}
	settings, err := file.read()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	logWriter := logger.New(c.out.stdout, settings.Host)
	klog.SetOutput(logWriter)
	defer logWriter.Flush()
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * heapFraction * (1 << 20)))
	options := []controller.Option{controller.WithReload(file.read)}
	if c.Metrics > 0 {
		options = append(options, controller.WithMetricsAddress(net.JoinHostPort(settings.Address, strconv.Itoa(c.Metrics))))
	}
	host := controller.New(settings, platform.New(settings.StoreAddress, storeTransport()), options...)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return host.Run(ctx, reloadSignals(ctx))
}

// storeTransport returns a transport that reuses connections to the store and
// detects broken ones by keep-alive probes.
func storeTransport() http.RoundTripper {
	dialer := &net.Dialer{
		Timeout: storeDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: storeKeepAlive, Interval: storeKeepAlive, Count: 2,
		},
	}
	return verifier.Transport(&http.Transport{
		DialContext: verifier.Dial(dialer.DialContext), MaxIdleConnsPerHost: 8, DisableCompression: true,
	})
}

// reloadSignals returns a channel that receives a value for each SIGHUP until the
// context ends.
func reloadSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reloads := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				reloads <- struct{}{}
			}
		}
	}()
	return reloads
}

// settingsFile is the settings file of the platform, which may be rewritten while
// the host runs.
type settingsFile struct {
	path     string
	lastData []byte
}

// read returns the settings, or nil if they have not changed since the last
// successful read.
func (f *settingsFile) read() (*loader.Deployment, error) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "failed to read platform settings")
	}
	if f.lastData != nil && bytes.Equal(data, f.lastData) {
		return nil, nil
	}
	settings, err := platform.ParseSettings(f.path, data)
	if err != nil {
		return nil, err
	}
	f.lastData = data
	return settings, nil
}

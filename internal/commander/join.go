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

	"magnoliahill.example/magnoliahill/internal/conductor"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/platform"
)

const (
	storeDial  = 500 * time.Millisecond // a store in another region is 20 ms away
	storeProbe = time.Second            // between probes of a silent connection to the store
	heapShare  = 0.6                    // share of the memory limit that the heap may use
)

func init() {
	register("join", "Run an entry host on the users' platform",
		"Runs an entry host by the settings that the platform wrote, until SIGTERM or SIGINT, then stops without cutting off a request. SIGHUP reads the settings again.",
		func(out *output) command { return &joinCommand{out: out} })
}

type joinCommand struct {
	out     *output
	Metrics int `long:"metrics-port" description:"port that serves counters and latency histograms; 0 for none" default:"0"`
	Args    struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file; else the one that the platform names"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *joinCommand) Execute([]string) error {
	file := &settingsFile{path: c.Args.Settings}
	if file.path == "" {
		file.path = platform.SettingsFile()
	}
	if file.path == "" {
		return failed(ExitUsage, errors.New("no settings file: name one, or run where the platform does"))
	}
	settings, err := file.read()
	if err != nil {
		return failed(ExitUsage, err)
	}
	lines := logger.New(c.out.stdout, settings.Host)
	klog.SetOutput(lines)
	defer lines.Flush()
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * heapShare * (1 << 20)))
	options := []conductor.Option{conductor.WithReload(file.read)}
	if c.Metrics > 0 {
		options = append(options, conductor.WithMetrics(net.JoinHostPort(settings.Address, strconv.Itoa(c.Metrics))))
	}
	host := conductor.New(settings, platform.New(settings.Store, storeTransport()), options...)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return host.Run(ctx, hangUps(ctx))
}

// storeTransport keeps connections to the store and notices silent ones.
func storeTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: storeDial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: storeProbe, Interval: storeProbe, Count: 2,
		},
	}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true}
}

// hangUps passes on SIGHUP.
func hangUps(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	asked := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				asked <- struct{}{}
			}
		}
	}()
	return asked
}

// settingsFile is the platform's settings file, read again when it changes.
type settingsFile struct {
	path string
	last []byte
}

// read returns the settings, or nil when they are as they were.
func (f *settingsFile) read() (*loader.Deployment, error) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "platform settings could not be read")
	}
	if f.last != nil && bytes.Equal(data, f.last) {
		return nil, nil
	}
	settings, err := platform.ParseSettings(f.path, data)
	if err != nil {
		return nil, err
	}
	f.last = data
	return settings, nil
}

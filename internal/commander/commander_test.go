package commander_test

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"magnoliahill.example/magnoliahill/internal/commander"
	"magnoliahill.example/magnoliahill/internal/standin/backend"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	adapter "magnoliahill.example/magnoliahill/platform"
	"magnoliahill.example/magnoliahill/platform/standin"
)

// inForce is the operator's configuration in the store.
const inForce = `{"Version":"0000000c","Services":{"s":{}},
"Routes":{"a":{"Host":"h","PathPrefix":"/a/","Kind":"safe","TimeoutS":3,"LatencyGoalS":1,"Service":"s","HomeRegions":["kigali"]}}}`

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"magnoliahill": func() { os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// The scripts run the real commands against a stand-in platform and a stand-in
// backend server. The platform lists two hosts with free control addresses.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"envfile": expandFile},
		Setup: func(env *testscript.Env) error {
			p := platform.New()
			ps := httptest.NewServer(p)
			b := backend.New("desk-1")
			bs := httptest.NewServer(b)
			env.Defer(ps.Close)
			env.Defer(bs.Close)
			env.Setenv("MAGNOLIAHILL_PLATFORM", ps.URL)
			objects := standin.New()
			objects.Put(adapter.KindQuarantines, "00000000000000a1", map[string]any{"route": "read-grades", "term": 0, "crashes": []int{1, 2, 3}})
			objects.Put(adapter.KindQuarantines, "00000000000000a1-0-trial-1", map[string]any{"host": "h1"})
			objects.Put(adapter.KindQuarantines, "00000000000000b2", map[string]any{"route": "order", "term": 4, "crashes": []int{4, 5, 6}})
			objects.Put(adapter.KindConfig, "main", json.RawMessage(inForce))
			objects.Put(adapter.KindServers, "i-1", map[string]any{"Service": "s", "Address": "10.1.0.9:80", "Zone": "kigali-a", "Slots": 4, "State": "ready"})
			objects.Put(adapter.KindServers, "i-2", map[string]any{"Service": "s", "Address": "10.2.0.9:80", "Zone": "huye-a", "Slots": 4, "State": "ready"})
			objects.Put(adapter.KindServers, "i-3", map[string]any{"Service": "huye-only", "Address": "10.2.0.10:80", "Zone": "huye-b", "Slots": 4, "State": "draining"})
			objects.Put(adapter.KindServers, "i-4", map[string]any{"Service": "huye-only"})
			objectServer := httptest.NewServer(objects)
			env.Defer(objectServer.Close)
			env.Defer(objects.Close)
			env.Setenv("STORE", objectServer.Listener.Addr().String())
			env.Setenv("BACKEND", bs.Listener.Addr().String())
			for _, name := range []string{"DATA1", "CONTROL1", "DATA2", "CONTROL2"} {
				env.Setenv(name, freeAddress(t))
			}
			p.SetHost(platform.Host{ID: "h1", Zone: "kigali-a", Address: env.Getenv("CONTROL1"), State: "live"})
			p.SetHost(platform.Host{ID: "h2", Zone: "kigali-b", Address: env.Getenv("CONTROL2"), State: "live"})
			return nil
		},
	})
}

// expandFile copies a file with its environment variables expanded.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// freeAddress returns an address with a port that was free just now. Other processes
// take their ports at other loopback addresses.
func freeAddress(t *testing.T) string {
	l, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

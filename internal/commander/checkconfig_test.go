package commander_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/commander"
)

const secretKey = "secret" // occurs only in keys of the configurations

// Every kind of finding and of difference is reported, with nothing beside it.
func TestCheckConfig(t *testing.T) {
	var cases []struct {
		Name, Config, InForce string
		Settings              bool
		Want                  []string
		Exit                  *int
	}
	data, err := os.ReadFile("testdata/findings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			args := []string{"check", "--platform-config", writeFile(t, "config.json", c.Config)}
			if c.InForce != "" {
				args = append(args, "--in-force", writeFile(t, "inforce.json", c.InForce))
			}
			if c.Settings {
				args = append(args, "--platform-settings", "../../platform/testdata/settings.yaml")
			}
			exit := commander.ExitFailed
			if c.Exit != nil {
				exit = *c.Exit
			}
			var out, errOut bytes.Buffer
			is.Equal(commander.Run(args, &out, &errOut), exit)
			is.Equal(strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), c.Want)
			is.True(!strings.Contains(out.String()+errOut.String(), secretKey))
		})
	}
}

// A configuration with 1,600 routes and 80 workspaces is checked and compared within
// a second, also if every route is invalid.
func TestCheckLargeConfig(t *testing.T) {
	for _, timeout := range []string{"3", `"3"`} {
		elapsed, _ := checkLargeConfig(t, timeout)
		is.New(t).True(elapsed < time.Second)
	}
}

// The same in processor time, which does not depend on what else the machine does.
func TestCheckLargeConfigWork(t *testing.T) {
	for _, timeout := range []string{"3", `"3"`} {
		_, worked := checkLargeConfig(t, timeout)
		is.New(t).True(worked < time.Second)
	}
}

// The same as an operator runs it: the program as it is built for use, from its start to
// its end.
func TestCheckLargeConfigAsBuilt(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "magnoliahill")
	built, err := exec.Command("go", "build", "-o", program, "../../cmd/magnoliahill").CombinedOutput()
	if err != nil {
		t.Fatalf("building failed: %v\n%s", err, built)
	}
	inForce := writeFile(t, "inforce.json", largeConfig("4"))
	for _, timeout := range []string{"3", `"3"`} {
		config := writeFile(t, "config.json", largeConfig(timeout))
		startedAt := time.Now()
		out, err := exec.Command(program, "check", "--platform-config", config, "--in-force", inForce).Output()
		elapsed := time.Since(startedAt)
		t.Logf("checked in %v elapsed", elapsed)
		var exit *exec.ExitError
		is.True(errors.As(err, &exit))
		is.Equal(exit.ExitCode(), int(commander.ExitFailed))
		is.Equal(strings.Count(string(out), "TimeoutS: "), 1600)
		is.True(elapsed < time.Second)
	}
}

// checkLargeConfig returns the elapsed time and the processor time of one check.
func checkLargeConfig(t *testing.T, timeout string) (elapsed, worked time.Duration) {
	config := writeFile(t, "config.json", largeConfig(timeout))
	inForce := writeFile(t, "inforce.json", largeConfig("4"))
	var out, errOut bytes.Buffer
	start, startedAt := processorTime(t), time.Now()
	commander.Run([]string{"check", "--platform-config", config, "--in-force", inForce}, &out, &errOut)
	elapsed, worked = time.Since(startedAt), processorTime(t)-start
	t.Logf("checked in %v of processor time, %v elapsed", worked, elapsed)
	is.New(t).Equal(strings.Count(out.String(), "TimeoutS: "), 1600)
	return elapsed, worked
}

// processorTime returns the processor time that all threads of the process have used.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// largeConfig returns a configuration whose routes have a time limit.
func largeConfig(timeout string) string {
	var b strings.Builder
	b.WriteString(`{"Version":"02","Services":{`)
	for i := range 40 {
		fmt.Fprintf(&b, `%s"s%d":{"ConnectionLimit":330,"ColdStartS":3,"ColdPerS":6.8}`, comma(i), i)
	}
	b.WriteString("},\n\"Routes\":{")
	for i := range 1600 {
		fmt.Fprintf(&b, `%s"r%d":{"Host":"h%d.example","PathPrefix":"/p%d/","Kind":"safe","TimeoutS":%s,"LatencyGoalS":0.4,"Priority":%d,"TrafficSplit":[{"Service":"s%d","Weight":90},{"Service":"s%d","Weight":10}],"MaxAttempts":2,"HomeRegions":["kigali"]}`,
			comma(i), i, i%20, i, timeout, i%3, i%40, (i+1)%40)
	}
	b.WriteString("},\n\"Tenants\":{")
	for i := range 80 {
		fmt.Fprintf(&b, `%s"t%d":{"ApiKeys":["a%d","b%d"],"Priority":%d,"RatePerS":100,"Burst":100}`, comma(i), i, i, i, i%3)
	}
	b.WriteString("}}")
	return b.String()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ",\n"
}

func writeFile(t *testing.T, name, text string) string {
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

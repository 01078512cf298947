// Command rig-2 plays the scripted cases of the second review: it starts the system as
// its deploy file does, with stand-ins for the platform's store, the targets and the
// clients, and checks one rule by what clients and targets observe.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// maxDuration bounds a case; it is below the limit of 120 s.
const maxDuration = 115 * time.Second

// cases maps the name of a case to the function that plays it. The function returns
// whether the rule was broken.
var cases = map[string]func(*deployment) (bool, error){
	"limit":    playLimit,
	"stall":    playStall,
	"refused":  playRefused,
	"pipeline": playPipeline,
	"framing":  playFraming,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

// run plays a case and returns the exit code.
func run(name, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	watchdog := time.AfterFunc(maxDuration, func() {
		d.close()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	broken, err := play(d)
	switch {
	case err != nil:
		d.notef("the case could not run: %v", err)
		return exitFailed
	case broken:
		d.notef("result: the rule was broken")
		return exitBroken
	}
	d.notef("result: the rule held")
	return exitHeld
}

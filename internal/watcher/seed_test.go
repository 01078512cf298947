package watcher_test

import "flag"

// A fixed seed gives every run the same verdict. Another one can be given with
// -rapid.seed on the command line.
func init() { _ = flag.Set("rapid.seed", "20261204") }

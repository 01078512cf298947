package activator_test

import "flag"

// The seed is fixed so that every run checks the same cases. The command line
// flag -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

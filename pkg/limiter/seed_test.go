package limiter_test

import "flag"

// A fixed seed gives every run the same result. The flag -rapid.seed on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

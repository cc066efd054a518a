package route

import "flag"

// init sets a fixed seed for the property tests, so that their results are reproducible. The flag
// -rapid.seed selects another seed, and -rapid.checks sets the number of checks.
func init() { _ = flag.Set("rapid.seed", "20261202") }

package lab

import "flag"

// init sets a fixed seed for the property tests, so that every run gives the same result. The flag -rapid.seed
// overrides it, and -rapid.checks sets the number of cases.
func init() { _ = flag.Set("rapid.seed", "20261202") }

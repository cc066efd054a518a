package state

import "flag"

// init sets a fixed seed for the randomised tests, so that every run gives the
// same result. The flag -rapid.seed selects another seed, and -rapid.checks the
// number of cases.
func init() { _ = flag.Set("rapid.seed", "20261202") }

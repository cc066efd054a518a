package table

import "flag"

// init sets a fixed seed for the property tests, which makes runs reproducible. The flag -rapid.seed selects
// another seed, and -rapid.checks sets the number of cases of each test.
func init() { _ = flag.Set("rapid.seed", "20261202") }

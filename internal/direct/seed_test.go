package direct

import "flag"

// init fixes the seed of the randomised tests so that they are reproducible.
func init() { _ = flag.Set("rapid.seed", "20261202") }

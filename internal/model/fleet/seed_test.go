package fleet_test

import "flag"

// A fixed seed makes the tests deterministic in CI. The flag -rapid.seed selects other inputs.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

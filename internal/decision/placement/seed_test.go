package placement_test

import "flag"

// A fixed seed makes every run reproducible; -rapid.seed selects other histories.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

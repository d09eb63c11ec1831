package maintenance_test

import "flag"

// The fixed seed makes test runs reproducible; -rapid.seed selects other histories.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

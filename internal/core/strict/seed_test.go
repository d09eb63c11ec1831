package strict_test

import "flag"

// The fixed seed makes test runs reproducible; the flag -rapid.seed selects other inputs.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

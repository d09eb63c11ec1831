package retry_test

import "flag"

// The fixed seed makes test runs reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

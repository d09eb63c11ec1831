package dispatch_test

import "flag"

// init fixes the seed of rapid, so that CI runs are reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

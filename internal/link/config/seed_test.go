package config_test

import "flag"

// A fixed seed makes the property tests reproducible; -rapid.seed on the command line selects another one.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

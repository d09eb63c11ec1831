package file_test

import "flag"

// A fixed seed keeps CI runs reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

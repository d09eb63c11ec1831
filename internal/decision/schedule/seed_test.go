package schedule_test

import "flag"

// CI gives the same verdict every run; -rapid.seed tries other histories.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// Command bench measures the decisions against baselines and exits with an error when a bound is broken.
package main

import (
	"os"

	"teaselloft/internal/core/command"

	_ "teaselloft/internal/bench/dispatch"
)

func main() {
	os.Exit(command.Main("bench", "benchmarks with a virtual clock"))
}

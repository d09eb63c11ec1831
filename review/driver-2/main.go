//go:build review2

// Command driver-2 runs the cases of the second review. Each starts the daemons as processes beside stand-ins for the
// users' platform, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. The file of each adds it.
var cases = map[string]func(*harness){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newHarness(os.Args[2]))
}

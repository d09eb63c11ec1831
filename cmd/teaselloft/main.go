// Command teaselloft is the daemon of an entry instance and the operators' command line.
package main

import (
	"os"

	"teaselloft/internal/core/command"

	_ "teaselloft/internal/command/config"
	_ "teaselloft/internal/command/process"
	_ "teaselloft/internal/link/config"
	_ "teaselloft/internal/link/platform"
)

func main() {
	os.Exit(command.Main("teaselloft", "fleet capacity and maintenance manager"))
}

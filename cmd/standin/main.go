package main

import (
	"os"

	"teaselloft/internal/core/command"

	_ "teaselloft/internal/command/layout"
	_ "teaselloft/internal/command/process"
	_ "teaselloft/internal/standin/endpoint"
	_ "teaselloft/internal/standin/platform"
	_ "teaselloft/internal/standin/site"
)

func main() {
	os.Exit(command.Main("standin", "run stand-ins for the platform and for endpoints"))
}

package main

import (
	"os"

	"teaselloft/internal/core/command"

	_ "teaselloft/internal/command/accounts"
	_ "teaselloft/internal/command/config"
	_ "teaselloft/internal/command/fleet"
	_ "teaselloft/internal/command/interference"
	_ "teaselloft/internal/command/jobs"
	_ "teaselloft/internal/command/maintenance"
	_ "teaselloft/internal/command/process"
	_ "teaselloft/internal/command/request"
	_ "teaselloft/internal/command/story"
	_ "teaselloft/internal/link/caller"
	_ "teaselloft/internal/link/config"
	_ "teaselloft/internal/link/directory"
	_ "teaselloft/internal/link/endpoint"
	_ "teaselloft/internal/link/entry"
	_ "teaselloft/internal/link/jobservice"
	_ "teaselloft/internal/link/member"
	_ "teaselloft/internal/link/operator"
	_ "teaselloft/internal/link/peer"
	_ "teaselloft/internal/link/plan"
	_ "teaselloft/internal/link/platform"
	_ "teaselloft/internal/link/pool"
	_ "teaselloft/internal/link/relay"
	_ "teaselloft/internal/link/route"
	_ "teaselloft/platform"
)

func main() {
	os.Exit(command.Main("teaselloft", "fleet capacity and maintenance manager"))
}

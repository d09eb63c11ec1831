package maintenance

import (
	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/wave"

	"github.com/urfave/cli/v3"
)

func init() {
	command.Register(&cli.Command{
		Name:  "maintenance",
		Usage: "declare, watch and steer maintenance waves",
		Commands: []*cli.Command{
			planCommand(),
			startCommand(),
			transitionCommand(wave.Pause, "take no more instances out; those that are out come back"),
			transitionCommand(wave.Resume, "go on with a paused or stopped wave"),
			transitionCommand(wave.Cancel, "end a wave; draining instances serve again, rebooting ones come back"),
			statusCommand(),
		},
	})
}

// withPlatformFlags returns the flags of a platform command followed by the given flags.
func withPlatformFlags(flags ...cli.Flag) []cli.Flag {
	return append(option.Platform(), flags...)
}

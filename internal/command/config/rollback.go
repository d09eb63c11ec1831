package config

import (
	"context"
	"fmt"
	"strconv"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "rollback",
			Usage:     "bring the content of an earlier version into force as a new, higher version",
			ArgsUsage: "VERSION",
			Flags:     append(option.Platform(), changeFlags()...),
			Action:    rollback,
		}
	})
}

func rollback(ctx context.Context, c *cli.Command) error {
	arguments, err := option.Arguments(c, 1, 1)
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(arguments[0], 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a version", arguments[0])
	}
	return applyChange(ctx, c, func(ctx context.Context, s store.Store, change store.Change) (store.ApplyResult, error) {
		return store.Rollback(ctx, s, version, change)
	})
}

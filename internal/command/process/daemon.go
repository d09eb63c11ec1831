package process

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"teaselloft/internal/core/command"
	"teaselloft/internal/core/kernel"

	"github.com/urfave/cli/v3"
)

func init() {
	command.Register(&cli.Command{
		Name:      "daemon",
		Usage:     "run the plug-ins that a settings file names until told to stop",
		ArgsUsage: "SETTINGS.json",
		Action:    daemon,
	})
}

func daemon(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return fmt.Errorf("daemon takes one settings file, got %d arguments", c.NArg())
	}
	path := c.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := kernel.ParseSettings(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: settings.Log}))
	k, err := kernel.New(settings, log)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return k.Run(ctx)
}

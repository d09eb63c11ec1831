package config

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/settings/file"
	"teaselloft/internal/settings/store"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "apply",
			Usage:     "bring configuration files into force as the next version",
			ArgsUsage: "BASE.json [OVERLAY.json ...]",
			Description: "The change is refused when another version than --from is in force. After an error\n" +
				"that leaves the result unknown, repeat the command with the printed --change.",
			Flags:  append(option.Platform(), changeFlags()...),
			Action: apply,
		}
	})
}

// changeFlags returns the flags of a command that creates a new version.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "from", Usage: "`VERSION` that the change was made from, by default the one in force"},
		&cli.StringFlag{Name: "change", Usage: "`ID` of an earlier attempt of the same change"},
		&cli.StringFlag{
			Name: "author", Usage: "`NAME` for the history", Value: "unknown",
			Sources: cli.EnvVars("TEASELLOFT_AUTHOR", "USER"),
		},
	}
}

// newChange returns a change without content, based on --from or on the current version.
func newChange(ctx context.Context, c *cli.Command, s store.Store) (store.Change, error) {
	change := store.Change{ID: c.String("change"), Author: c.String("author"), Time: time.Now().UTC(), Base: c.Uint64("from")}
	if change.ID == "" {
		change.ID = uuid.NewString()
	} else if !c.IsSet("from") {
		return store.Change{}, fmt.Errorf("--change needs the --from of the earlier attempt")
	}
	if c.IsSet("from") {
		return change, nil
	}
	head, _, err := store.ReadHead(ctx, s)
	change.Base = head.Version
	return change, err
}

func apply(ctx context.Context, c *cli.Command) error {
	paths, err := option.Arguments(c, 1, -1)
	if err != nil {
		return err
	}
	config, err := readConfig(paths)
	if err != nil {
		return err
	}
	if err := checkSite(c, config); err != nil {
		return err
	}
	return applyChange(ctx, c, func(ctx context.Context, s store.Store, change store.Change) (store.ApplyResult, error) {
		change.Fleet = config.Fleet
		return store.Apply(ctx, s, change)
	})
}

// checkSite returns an error if the overlays are of another site than --site.
func checkSite(c *cli.Command, config file.Config) error {
	if site := c.String("site"); site != "" && config.Site != "" && site != config.Site {
		return fmt.Errorf("the overlay is for site %q, not for %q", config.Site, site)
	}
	return nil
}

// applyChange creates a new version with run and prints the result.
func applyChange(ctx context.Context, c *cli.Command, run func(context.Context, store.Store, store.Change) (store.ApplyResult, error)) error {
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return err
	}
	change, err := newChange(ctx, c, s)
	if err != nil {
		return err
	}
	applied, err := run(ctx, s, change)
	if err != nil {
		return withRetryHint(change, err)
	}
	return option.Print(c, applied, option.Table{
		Header: []string{"version", "result", "bytes", "instances placed"},
		Rows: [][]string{{
			strconv.FormatUint(applied.Version, 10), resultText(applied),
			strconv.Itoa(applied.Bytes), strconv.Itoa(applied.Instances),
		}},
	})
}

func resultText(a store.ApplyResult) string {
	switch {
	case a.Unchanged:
		return "no change"
	case a.AlreadyApplied:
		return "was in force already"
	default:
		return "in force"
	}
}

package config

import (
	"context"
	"encoding/json"
	"fmt"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "diff",
			Usage:     "show what applying configuration files would change",
			ArgsUsage: "BASE.json [OVERLAY.json ...]",
			Flags:     append(option.Platform(), &cli.Uint64Flag{Name: "version", Usage: "`VERSION` to compare with, by default the one in force"}),
			Action:    diff,
		}
	})
}

// comparison is the output of diff.
type comparison struct {
	Version uint64             `json:"version"` // stored version that the files are compared with, for apply --from
	Changes []store.Difference `json:"changes"`
}

func diff(ctx context.Context, c *cli.Command) error {
	paths, err := option.Arguments(c, 1, -1)
	if err != nil {
		return err
	}
	config, err := readConfig(paths)
	if err != nil {
		return err
	}
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return err
	}
	before, err := readStored(ctx, s, c.Uint64("version"))
	if err != nil {
		return err
	}
	changes, err := store.Diff(before, config.Fleet)
	if err != nil {
		return err
	}
	return option.Print(c, comparison{Version: before.Version, Changes: changes}, differenceTable(before.Version, changes))
}

// readStored returns a stored version of the configuration; version 0 selects the current one.
func readStored(ctx context.Context, s store.Store, version uint64) (fleet.Fleet, error) {
	head, _, err := store.ReadHead(ctx, s)
	if err != nil || head.Version == 0 && version == 0 {
		return fleet.Fleet{}, err
	}
	if version == 0 {
		version = head.Version
	}
	return store.ReadVersion(ctx, s, head, version)
}

func differenceTable(version uint64, changes []store.Difference) option.Table {
	t := option.Table{Header: []string{"field", fmt.Sprintf("version %d", version), "files"}}
	for _, d := range changes {
		t.Rows = append(t.Rows, []string{d.Field, formatValue(d.Before), formatValue(d.After)})
	}
	return t
}

func formatValue(v any) string {
	if v == nil {
		return "-"
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

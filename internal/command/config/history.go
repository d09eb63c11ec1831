package config

import (
	"context"
	"strconv"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

// defaultCount is the default number of versions to list; each takes one read from the platform.
const defaultCount = 20

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:   "history",
			Usage:  "list the latest configuration versions",
			Flags:  append(option.Platform(), &cli.IntFlag{Name: "count", Usage: "largest `NUMBER` of versions", Value: defaultCount}),
			Action: history,
		}
	})
}

func history(ctx context.Context, c *cli.Command) error {
	if _, err := option.Arguments(c, 0, 0); err != nil {
		return err
	}
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return err
	}
	entries, err := store.History(ctx, s, c.Int("count"))
	if err != nil {
		return err
	}
	t := option.Table{Header: []string{"version", "time", "author", "form", "bytes", "change"}}
	for _, e := range entries {
		form := "delta"
		if e.Snapshot {
			form = "snapshot"
		}
		t.Rows = append(t.Rows, []string{
			strconv.FormatUint(e.Version, 10), e.Time.Format(time.RFC3339), e.Author, form, strconv.Itoa(e.Bytes), e.Change,
		})
	}
	return option.Print(c, entries, t)
}

package maintenance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

// followInterval is the polling interval of --follow; the planner writes a wave's progress once a minute.
const followInterval = 2 * time.Second

func followFlag() cli.Flag {
	return &cli.BoolFlag{Name: "follow", Usage: "wait for the wave's end, with a progress bar on a terminal"}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show all waves, or the instances of one",
		ArgsUsage: "[WAVE]",
		Flags:     withPlatformFlags(followFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := option.Arguments(c, 0, 1)
			if err != nil {
				return err
			}
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			if len(arguments) == 0 {
				return statusAll(ctx, c, s)
			}
			limited, cancel := option.WithTimeout(ctx, c)
			defer cancel()
			w, _, err := readWave(limited, s, arguments[0])
			if err != nil {
				return err
			}
			return showWave(ctx, c, s, w)
		},
	}
}

func statusAll(ctx context.Context, c *cli.Command, s store.Store) error {
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	records, err := s.List(ctx, record.PrefixWave)
	if err != nil {
		return fmt.Errorf("list waves: %w", err)
	}
	waves := []record.Wave{}
	for _, r := range records {
		if w, ok := r.Record.(record.Wave); ok {
			waves = append(waves, w)
		}
	}
	return printWaves(c, waves)
}

// showWave prints one wave. With --follow it waits for the wave's end first and returns an error if the wave
// did not end as done.
func showWave(ctx context.Context, c *cli.Command, s store.Store, w record.Wave) error {
	if c.Bool("follow") {
		var err error
		if w, err = follow(ctx, c, s, w); err != nil {
			return err
		}
	}
	t := option.Table{Header: []string{"instance", "step", "since", "reason"}}
	for _, id := range slices.Sorted(maps.Keys(w.Progress)) {
		g := w.Progress[id]
		since := ""
		if !g.Since.IsZero() {
			since = g.Since.Format(time.RFC3339)
		}
		t.Rows = append(t.Rows, []string{id, g.Step, since, g.Reason})
	}
	t.Rows = append(t.Rows, []string{fmt.Sprintf("wave %s is %s: %s", w.ID, w.Phase, wave.Summary(w))})
	if err := option.Print(c, w, t); err != nil {
		return err
	}
	if c.Bool("follow") && w.Phase != record.Done {
		return fmt.Errorf("wave %q is %s", w.ID, w.Phase)
	}
	return nil
}

// follow polls the wave until it is no longer planned, running or paused.
func follow(ctx context.Context, c *cli.Command, s store.Store, w record.Wave) (record.Wave, error) {
	b := newProgressBar(c.Root().ErrWriter)
	defer b.end()
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for w.Phase == record.Planned || w.Phase == record.Running || w.Phase == record.Paused {
		b.draw(w)
		select {
		case <-ctx.Done():
			return w, ctx.Err()
		case <-ticker.C:
		}
		limited, cancel := option.WithTimeout(ctx, c)
		next, _, err := readWave(limited, s, w.ID)
		cancel()
		if err != nil {
			return w, err
		}
		w = next
	}
	b.draw(w)
	return w, nil
}

func printWaves(c *cli.Command, waves []record.Wave) error {
	t := option.Table{Header: []string{"wave", "phase", "since", "progress"}}
	for _, w := range waves {
		t.Rows = append(t.Rows, []string{w.ID, string(w.Phase), w.Since.Format(time.RFC3339), wave.Summary(w)})
	}
	return option.Print(c, waves, t)
}

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

// The durations that a dry run assumes unless flags say otherwise.
const (
	defaultDrain  = 2 * time.Minute
	defaultReboot = 5 * time.Minute
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name:  "plan",
		Usage: "show the moves of a wave with their expected times; changes nothing",
		Flags: append(join(declareFlags()...), expectFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := option.Arguments(c, 0, 0); err != nil {
				return err
			}
			w, err := declared(c, "plan")
			if err != nil {
				return err
			}
			ctx, cancel := option.WithTimeout(ctx, c)
			defer cancel()
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			return plan(ctx, c, s, w)
		},
	}
}

func expectFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "drain", Usage: "expected `TIME` until nothing is in flight", Value: defaultDrain},
		&cli.DurationFlag{Name: "reboot", Usage: "expected `TIME` of a reboot", Value: defaultReboot},
	}
}

// planned is the output of a dry run.
type planned struct {
	wave.Forecast
	Late bool `json:"late"` // the expected end is after the declared time
}

func plan(ctx context.Context, c *cli.Command, s store.Store, w record.Wave) error {
	now := time.Now()
	state, err := readView(ctx, s, now)
	if err != nil {
		return err
	}
	expect := wave.Estimates{Drain: always(c.Duration("drain")), Reboot: always(c.Duration("reboot"))}
	forecast, err := wave.DryRun(state, w, now, expect)
	if err != nil {
		return err
	}
	out := planned{Forecast: forecast, Late: !w.Deadline.IsZero() && forecast.End.After(w.Deadline)}
	return option.Print(c, out, planTable(out, now))
}

func always(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func planTable(p planned, now time.Time) option.Table {
	t := option.Table{Header: []string{"instance", "pool", "zone", "rack", "out", "back"}}
	for _, o := range p.Outages {
		t.Rows = append(t.Rows, []string{
			o.Instance, o.Pool, o.Place.Zone, o.Place.Rack, after(now, o.Start), after(now, o.End),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.Blocked)) {
		t.Rows = append(t.Rows, []string{id, "not taken out: " + p.Blocked[id]})
	}
	end := fmt.Sprintf("%d moves, expected end %s (%s)", len(p.Outages), p.End.Format(time.RFC3339), after(now, p.End))
	if p.Late {
		end += ", after the declared time"
	}
	t.Rows = append(t.Rows, []string{end})
	return t
}

func after(now, t time.Time) string {
	return "+" + t.Sub(now).Round(time.Second).String()
}

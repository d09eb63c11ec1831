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

// Default estimates of a dry run.
const (
	defaultDrain  = 2 * time.Minute
	defaultReboot = 5 * time.Minute
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name:  "plan",
		Usage: "show the moves of a wave with their expected times; changes nothing",
		Flags: append(withPlatformFlags(waveFlags()...), estimateFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := option.Arguments(c, 0, 0); err != nil {
				return err
			}
			w, err := waveFromFlags(c, "plan")
			if err != nil {
				return err
			}
			ctx, cancel := option.WithTimeout(ctx, c)
			defer cancel()
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			return printPlan(ctx, c, s, w)
		},
	}
}

func estimateFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "drain", Usage: "expected `TIME` until nothing is in flight", Value: defaultDrain},
		&cli.DurationFlag{Name: "reboot", Usage: "expected `TIME` of a reboot", Value: defaultReboot},
	}
}

// planOutput is the result of a dry run as printed.
type planOutput struct {
	wave.Forecast
	Late bool `json:"late"` // the expected end is after the deadline
}

func printPlan(ctx context.Context, c *cli.Command, s store.Store, w record.Wave) error {
	now := time.Now()
	state, err := readState(ctx, s, now)
	if err != nil {
		return err
	}
	estimates := wave.Estimates{Drain: constant(c.Duration("drain")), Reboot: constant(c.Duration("reboot"))}
	forecast, err := wave.DryRun(state, w, now, estimates)
	if err != nil {
		return err
	}
	out := planOutput{Forecast: forecast, Late: !w.Deadline.IsZero() && forecast.End.After(w.Deadline)}
	return option.Print(c, out, planTable(out, now))
}

func constant(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func planTable(p planOutput, now time.Time) option.Table {
	t := option.Table{Header: []string{"instance", "pool", "zone", "rack", "out", "back"}}
	for _, o := range p.Outages {
		t.Rows = append(t.Rows, []string{
			o.Instance, o.Pool, o.Place.Zone, o.Place.Rack, offset(now, o.Start), offset(now, o.End),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.Blocked)) {
		t.Rows = append(t.Rows, []string{id, "not taken out: " + p.Blocked[id]})
	}
	end := fmt.Sprintf("%d moves, expected end %s (%s)", len(p.Outages), p.End.Format(time.RFC3339), offset(now, p.End))
	if p.Late {
		end += ", after the declared time"
	}
	t.Rows = append(t.Rows, []string{end})
	return t
}

func offset(now, t time.Time) string {
	return "+" + t.Sub(now).Round(time.Second).String()
}

package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"teaselloft/internal/core/command"
	link "teaselloft/internal/link/platform"

	"github.com/urfave/cli/v3"
)

// errBound is returned when a measured value is beyond its bound.
var errBound = errors.New("a bound is broken")

const (
	defaultWindow = 5 * time.Second
	// defaultChanges include one whole configuration, which follows after 50 deltas.
	defaultChanges = 51
	// boundBytes is the budget of 3 KB/s in which all control of a daemon must fit.
	boundBytes = 3072
	// boundCalls allows for a keep-alive or a poll more or less at the edges of the window, and for jitter.
	boundCalls = 1.1
	// changesPerDay and boundSeconds come from the size to design for.
	changesPerDay = 2400
	boundSeconds  = 6
	secondsPerDay = 24 * 60 * 60
)

func init() {
	command.Register(&cli.Command{
		Name:  "platform",
		Usage: "measure what the platform links of entry instances cost the platform",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "`TIME` of each measurement at rest", Value: defaultWindow},
			&cli.IntFlag{Name: "changes", Usage: "`NUMBER` of configuration changes", Value: defaultChanges},
			&cli.IntSliceFlag{Name: "entries", Usage: "`NUMBERS` of entry instances", Value: []int{1, 2, 4, 8}},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w, entries := c.Root().Writer, c.IntSlice("entries")
			rest := runRest(ctx, w, entries, c.Duration("window"))
			return errors.Join(rest, runChange(ctx, w, []int{slices.Min(entries), slices.Max(entries)}, c.Int("changes")))
		},
	})
}

func runRest(ctx context.Context, w io.Writer, entries []int, window time.Duration) error {
	var rates, bytes []Point
	for _, n := range entries {
		l, err := Rest(ctx, n, window)
		if err != nil {
			return fmt.Errorf("measure %d entry instances at rest: %w", n, err)
		}
		fmt.Fprintf(w, "rest entries=%d calls=%.2f/s bytes=%.0f/s watching=%d\n", n, l.Calls, l.Bytes, l.Watching)
		rates = append(rates, Point{Entries: n, Value: l.Calls})
		bytes = append(bytes, Point{Entries: n, Value: l.Bytes})
	}
	// The least that lease and instance list need: a keep-alive and a poll in each interval.
	needed := 1000.0/link.DefaultRenewInterval + 1000.0/link.DefaultPollInterval
	return errors.Join(
		report(w, "platform.rest.calls", Slope(rates), "calls/s/entry", needed, needed*boundCalls),
		report(w, "platform.rest.bytes", Slope(bytes), "bytes/s/entry", boundBytes, boundBytes),
	)
}

func runChange(ctx context.Context, w io.Writer, entries []int, changes int) error {
	var sums, bytes []Point
	var slowest time.Duration
	for _, n := range entries {
		c, err := Change(ctx, n, changes)
		if err != nil {
			return fmt.Errorf("measure changes with %d entry instances: %w", n, err)
		}
		fmt.Fprintf(w, "change entries=%d calls=%.2f bytes=%.0f slowest=%s\n", n, c.Calls, c.Bytes, c.Slowest)
		sums = append(sums, Point{Entries: n, Value: c.Calls})
		bytes = append(bytes, Point{Entries: n, Value: c.Bytes})
		slowest = max(slowest, c.Slowest)
	}
	// The slope leaves out the bytes of the command, which reads the whole configuration.
	rate := Slope(bytes) * changesPerDay / secondsPerDay
	return errors.Join(
		report(w, "platform.change.calls", Slope(sums), "calls/change/entry", neededCalls, neededCalls*boundCalls),
		report(w, "platform.change.bytes", rate, "bytes/s/entry", boundBytes, boundBytes),
		report(w, "platform.change.time", slowest.Seconds(), "s", boundSeconds, boundSeconds),
	)
}

// neededCalls of an entry instance for a change are a read of the delta and a write of its member key.
const neededCalls = 2

// report prints one line and returns errBound if the value is beyond its bound.
func report(w io.Writer, name string, value float64, unit string, baseline, bound float64) error {
	ok := value <= bound
	fmt.Fprintf(w, "bench name=%s value=%.3f unit=%s baseline=%.2f bound=%.2f ok=%t\n", name, value, unit, baseline, bound, ok)
	if !ok {
		return fmt.Errorf("%s: %w", name, errBound)
	}
	return nil
}

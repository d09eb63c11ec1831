package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"teaselloft/internal/core/command"
	link "teaselloft/internal/link/platform"

	"github.com/urfave/cli/v3"
)

// errBound is returned when a measured value is beyond its bound.
var errBound = errors.New("a bound is broken")

const (
	defaultWindow = 5 * time.Second
	// boundBytes is the budget of 3 KB/s in which all control of a daemon must fit.
	boundBytes = 3072
	// boundCalls allows for a keep-alive or a poll more or less at the edges of the window, and for jitter.
	boundCalls = 1.1
)

func init() {
	command.Register(&cli.Command{
		Name:  "platform",
		Usage: "measure what entry instances at rest cost the platform",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "`TIME` of each measurement", Value: defaultWindow},
			&cli.IntSliceFlag{Name: "entries", Usage: "`NUMBERS` of entry instances", Value: []int{1, 2, 4, 8}},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.Root().Writer, c.IntSlice("entries"), c.Duration("window"))
		},
	})
}

func run(ctx context.Context, w io.Writer, entries []int, window time.Duration) error {
	var loads []Load
	for _, n := range entries {
		l, err := Rest(ctx, n, window)
		if err != nil {
			return fmt.Errorf("measure %d entry instances: %w", n, err)
		}
		fmt.Fprintf(w, "load entries=%d calls=%.2f/s bytes=%.0f/s watching=%d\n", l.Entries, l.Calls, l.Bytes, l.Watching)
		loads = append(loads, l)
	}
	// The least that lease and instance list need: a keep-alive and a poll in each interval.
	needed := 1000.0/link.DefaultRenew + 1000.0/link.DefaultPoll
	calls := Slope(loads, func(l Load) float64 { return l.Calls })
	bytes := Slope(loads, func(l Load) float64 { return l.Bytes })
	fine := report(w, "platform.rest.calls", calls, "calls/s/entry", needed, needed*boundCalls)
	fine = report(w, "platform.rest.bytes", bytes, "bytes/s/entry", boundBytes, boundBytes) && fine
	if !fine {
		return errBound
	}
	return nil
}

// report prints one line and says whether the value is within its bound.
func report(w io.Writer, name string, value float64, unit string, baseline, bound float64) bool {
	ok := value <= bound
	fmt.Fprintf(w, "bench name=%s value=%.2f unit=%s baseline=%.2f bound=%.2f ok=%t\n", name, value, unit, baseline, bound, ok)
	return ok
}

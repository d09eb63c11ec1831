package planner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

// ErrBound is returned when a measured value is beyond its bound.
var ErrBound = errors.New("a bound is broken")

// defaultSeed makes the generated fleets, durations and loads the same on every run.
const defaultSeed = 20261204

func init() {
	command.Register(&cli.Command{
		Name:  "planner",
		Usage: "measure waves, capacity and placement at the two-year size",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the generated load", Value: defaultSeed},
			&cli.StringSliceFlag{Name: "only", Usage: "`AREAS` to measure: wave, platform, step, capacity, quarantine, urgent, growth"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(c.Root().Writer, c.Uint64("seed"), c.StringSlice("only"))
		},
	})
}

// areas are the measurements by name.
var areas = []struct {
	name    string
	measure func(*results, uint64) error
}{
	{"wave", rollout},
	{"platform", platform},
	{"step", waveStep},
	{"capacity", buffer},
	{"quarantine", quarantine},
	{"urgent", urgent},
	{"growth", growth},
}

// Run prints the measurements of some areas, of all without names; the error wraps ErrBound when a bound is broken.
func Run(w io.Writer, seed uint64, only []string) error {
	fmt.Fprintf(w, "seed %d\n", seed)
	r := &results{out: w}
	for _, a := range areas {
		if len(only) > 0 && !slices.Contains(only, a.name) {
			continue
		}
		if err := a.measure(r, seed); err != nil {
			return err
		}
	}
	return r.err()
}

// results prints measurements and remembers the broken bounds.
type results struct {
	out    io.Writer
	broken []string
}

// bound prints a value that must not exceed its bound, next to the value of a baseline.
func (r *results) bound(name string, value float64, unit string, baseline, bound float64) {
	ok := value <= bound
	if !ok {
		r.broken = append(r.broken, name)
	}
	fmt.Fprintf(r.out, "bench name=%s value=%.3f unit=%s baseline=%.3f bound=%.3f ok=%t\n", name, value, unit, baseline, bound, ok)
}

// figure prints a value without a stated target.
func (r *results) figure(name string, value float64, unit string) {
	fmt.Fprintf(r.out, "figure name=%s value=%.3f unit=%s\n", name, value, unit)
}

func (r *results) err() error {
	if len(r.broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %v", ErrBound, r.broken)
}

package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"

	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

// ErrBound is returned when a result breaks its bound.
var ErrBound = errors.New("bound is broken")

// Result is one measured figure.
type Result struct {
	Name     string
	Value    float64
	Unit     string
	Baseline float64 // of the same run, NaN for none
	Bound    float64 // largest allowed value, NaN for none
}

// OK reports whether the value keeps its bound.
func (r Result) OK() bool {
	return math.IsNaN(r.Bound) || r.Value <= r.Bound
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("bench name=%s value=%s unit=%s baseline=%s bound=%s ok=%v",
		r.Name, number(r.Value), r.Unit, number(r.Baseline), number(r.Bound), r.OK())
}

func number(v float64) string {
	if math.IsNaN(v) {
		return "none"
	}
	return fmt.Sprintf("%.4g", v)
}

// Benchmark is a named function that measures; an error means that it could not.
type Benchmark struct {
	Name  string
	Usage string
	Run   func(ctx context.Context) ([]Result, error)
}

var table = struct {
	sync.Mutex
	benchmarks []Benchmark
}{}

func init() {
	command.Register(&cli.Command{
		Name:   "all",
		Usage:  "run every benchmark",
		Action: func(ctx context.Context, c *cli.Command) error { return runAll(ctx, c.Root().Writer) },
	})
}

// Register adds a benchmark as a subcommand; call it from init.
func Register(b Benchmark) {
	table.Lock()
	defer table.Unlock()
	table.benchmarks = append(table.benchmarks, b)
	command.Register(&cli.Command{
		Name:   b.Name,
		Usage:  b.Usage,
		Action: func(ctx context.Context, c *cli.Command) error { return Print(ctx, c.Root().Writer, b) },
	})
}

// Print runs a benchmark and prints a line for each result; it wraps ErrBound when one breaks its bound.
func Print(ctx context.Context, w io.Writer, b Benchmark) error {
	results, err := b.Run(ctx)
	if err != nil {
		return fmt.Errorf("benchmark %q: %w", b.Name, err)
	}
	var broken []string
	for _, r := range results {
		fmt.Fprintln(w, r)
		if !r.OK() {
			broken = append(broken, r.Name)
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("benchmark %q: %w: %s", b.Name, ErrBound, strings.Join(broken, ", "))
	}
	return nil
}

func runAll(ctx context.Context, w io.Writer) error {
	table.Lock()
	benchmarks := slices.Clone(table.benchmarks)
	table.Unlock()
	var faults []error
	for _, b := range benchmarks {
		faults = append(faults, Print(ctx, w, b))
	}
	return errors.Join(faults...)
}

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

// ErrBoundExceeded is wrapped by the error of a benchmark with a result that exceeds its bound.
var ErrBoundExceeded = errors.New("bound exceeded")

// Result is one measured value.
type Result struct {
	Name     string
	Value    float64
	Unit     string
	Baseline float64 // reference value from the same run, printed for comparison, NaN for none
	Bound    float64 // largest permitted value, NaN for none
}

// OK reports whether the value is within its bound.
func (r Result) OK() bool {
	return math.IsNaN(r.Bound) || r.Value <= r.Bound
}

// String formats the result as a line of key=value pairs.
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

// Benchmark is a named measurement; an error of Run means that it could not be taken.
type Benchmark struct {
	Name  string
	Usage string
	Run   func(ctx context.Context) ([]Result, error)
}

var registry = struct {
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

// Register adds a benchmark and its subcommand; call it from init.
func Register(b Benchmark) {
	registry.Lock()
	defer registry.Unlock()
	registry.benchmarks = append(registry.benchmarks, b)
	command.Register(&cli.Command{
		Name:   b.Name,
		Usage:  b.Usage,
		Action: func(ctx context.Context, c *cli.Command) error { return Run(ctx, c.Root().Writer, b) },
	})
}

// Run runs a benchmark and prints a line for each result; its error wraps ErrBoundExceeded when one exceeds its bound.
func Run(ctx context.Context, w io.Writer, b Benchmark) error {
	results, err := b.Run(ctx)
	if err != nil {
		return fmt.Errorf("benchmark %q: %w", b.Name, err)
	}
	var exceeded []string
	for _, r := range results {
		fmt.Fprintln(w, r)
		if !r.OK() {
			exceeded = append(exceeded, r.Name)
		}
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("benchmark %q: %w: %s", b.Name, ErrBoundExceeded, strings.Join(exceeded, ", "))
	}
	return nil
}

func runAll(ctx context.Context, w io.Writer) error {
	registry.Lock()
	benchmarks := slices.Clone(registry.benchmarks)
	registry.Unlock()
	var errs []error
	for _, b := range benchmarks {
		errs = append(errs, Run(ctx, w, b))
	}
	return errors.Join(errs...)
}

package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

// errBound is returned when a measured value is beyond its bound.
var errBound = errors.New("a bound is broken")

const (
	defaultWindow = 400 * time.Millisecond
	// boundLatency is one way between two zones, in microseconds: the links must not cost more than a network hop.
	boundLatency = 1000
	// boundThroughput is half of a third: the links add a second HTTP exchange and two hand-overs between goroutines on
	// the same cores, about three times the work, and the machine may be busy with other work.
	boundThroughput = 1.0 / 6
)

func init() {
	command.Register(&cli.Command{
		Name:  "link",
		Usage: "measure what the caller and endpoint links add to a direct connection",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "`TIME` of each of the 20 measurements", Value: defaultWindow},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return Run(ctx, c.Root().Writer, c.Duration("window"))
		},
	})
}

// Run measures and prints a line for each value; it fails when a bound is broken.
func Run(ctx context.Context, w io.Writer, window time.Duration) error {
	direct, linked, err := Measure(ctx, window)
	if err != nil {
		return fmt.Errorf("measure the links: %w", err)
	}
	added := linked.Latency - direct.Latency
	ratio := linked.Throughput / direct.Throughput
	fine := added.Microseconds() <= boundLatency
	fmt.Fprintf(w, "bench name=link.latency.added value=%d unit=us baseline=%d bound=%d ok=%t\n",
		added.Microseconds(), direct.Latency.Microseconds(), boundLatency, fine)
	enough := ratio >= boundThroughput
	fmt.Fprintf(w, "bench name=link.throughput.ratio value=%.3f unit=ratio baseline=1.000 bound=%.3f ok=%t\n",
		ratio, boundThroughput, enough)
	fmt.Fprintf(w, "rate direct=%.0f/s linked=%.0f/s senders=%d\n", direct.Throughput, linked.Throughput, senders)
	if !fine || !enough {
		return errBound
	}
	return nil
}

package maintenance

import (
	"fmt"
	"time"

	"teaselloft/internal/model/record"

	"github.com/urfave/cli/v3"
)

// waveFlags returns the flags that select a wave's instances, its limit and its deadline.
func waveFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "pool", Usage: "only instances in the `POOL`"},
		&cli.StringFlag{Name: "zone", Usage: "only instances in the `ZONE`"},
		&cli.StringFlag{Name: "rack", Usage: "only instances in the `RACK`"},
		&cli.StringSliceFlag{Name: "instance", Usage: "only the `INSTANCE`; may be repeated"},
		&cli.IntFlag{Name: "most", Usage: "at most `N` instances out at a time, 0 for as many as the budgets allow"},
		&cli.TimestampFlag{
			Name:   "by",
			Usage:  "`TIME` by which the wave should end, as 2026-12-24T18:00:00Z",
			Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}},
		},
	}
}

// waveFromFlags returns the wave described by the flags, or an error if --most is negative.
func waveFromFlags(c *cli.Command, id string) (record.Wave, error) {
	maxUnavailable := c.Int("most")
	if maxUnavailable < 0 {
		return record.Wave{}, fmt.Errorf("flag --most is %d, less than 0", maxUnavailable)
	}
	return record.Wave{
		ID:             id,
		Pool:           c.String("pool"),
		Zone:           c.String("zone"),
		Rack:           c.String("rack"),
		Instances:      c.StringSlice("instance"),
		MaxUnavailable: maxUnavailable,
		Deadline:       c.Timestamp("by"),
		Phase:          record.Planned,
	}, nil
}

package fleet

import (
	"context"
	"strconv"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/model/record"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:  "pool",
			Usage: "pools of instances",
			Commands: []*cli.Command{{
				Name:   "list",
				Usage:  "list the pools with the states of their instances",
				Flags:  option.Platform(),
				Action: listPools,
			}},
		}
	})
}

// poolRow is a row of the pool list.
type poolRow struct {
	Name     string                       `json:"name"`
	Fleet    string                       `json:"fleet"`
	Spare    bool                         `json:"spare"`
	Declared int                          `json:"declared"`
	Present  int                          `json:"present"` // instances whose record names the pool
	States   map[record.InstanceState]int `json:"states"`
	Services []string                     `json:"services"`
}

// states lists the instance states in column order.
var states = []record.InstanceState{record.Serving, record.Draining, record.Rebooting, record.Out}

func listPools(ctx context.Context, c *cli.Command) error {
	v, err := connectView(ctx, c)
	if err != nil {
		return err
	}
	pools := v.poolRows()
	t := option.Table{Header: []string{"pool", "fleet", "declared", "present", "serving", "draining", "rebooting", "out"}}
	for _, p := range pools {
		row := []string{p.Name, option.Dash(p.Fleet), strconv.Itoa(p.Declared), strconv.Itoa(p.Present)}
		for _, state := range states {
			row = append(row, strconv.Itoa(p.States[state]))
		}
		t.Rows = append(t.Rows, row)
	}
	return option.Print(c, pools, t)
}

func (v view) poolRows() []poolRow {
	pools := make([]poolRow, 0, len(v.fleet.Pools))
	for _, p := range v.fleet.Pools {
		row := poolRow{
			Name: p.Name, Fleet: p.Fleet, Spare: p.Name == v.fleet.Spare, Declared: len(p.Instances),
			States: map[record.InstanceState]int{}, Services: []string{},
		}
		for _, i := range v.instances {
			if i.Pool == p.Name {
				row.Present++
				row.States[i.State]++
			}
		}
		for _, s := range v.fleet.Services {
			if s.Pool == p.Name {
				row.Services = append(row.Services, s.Name)
			}
		}
		pools = append(pools, row)
	}
	return pools
}

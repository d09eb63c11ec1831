package fleet

import (
	"context"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/operate"
	"teaselloft/internal/model/record"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:  "instance",
			Usage: "instances and the pools they are in",
			Commands: []*cli.Command{
				{
					Name:   "list",
					Usage:  "list the instances",
					Flags:  append(option.Platform(), &cli.StringFlag{Name: "pool", Usage: "list only instances in `POOL`"}),
					Action: listInstances,
				},
				orderCommand("move", "ID POOL", "drain an instance and place it in another pool once it was rebooted", 2,
					func(arguments []string) operate.Order { return operate.Move{Pool: arguments[1]} }),
				orderCommand("drain", "ID", "give an instance no more work and let it finish what it has", 1,
					func([]string) operate.Order { return operate.Drain{} }),
				orderCommand("return", "ID", "give an instance work again; ends a move that still drains", 1,
					func([]string) operate.Order { return operate.Return{} }),
			},
		}
	})
}

// instanceRow is a row of the instance list.
type instanceRow struct {
	record.Instance
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Rack     string `json:"rack"`
	Declared bool   `json:"declared"` // by the current configuration
}

func listInstances(ctx context.Context, c *cli.Command) error {
	v, err := connectView(ctx, c)
	if err != nil {
		return err
	}
	rows := v.instanceRows(c.String("pool"))
	t := option.Table{Header: []string{"id", "pool", "target", "state", "since", "zone", "rack", "address", "wave", "reason"}}
	for _, i := range rows {
		t.Rows = append(t.Rows, []string{
			i.ID, i.Pool, option.Dash(i.Target), string(i.State), i.Since.Format(time.RFC3339),
			option.Dash(i.Zone), option.Dash(i.Rack), option.Dash(i.Address), option.Dash(i.Wave), option.Dash(i.Reason),
		})
	}
	return option.Print(c, rows, t)
}

// instanceRows returns the instances in the pool, or all instances if the name is empty.
func (v view) instanceRows(pool string) []instanceRow {
	declared := v.declaredInstances()
	rows := []instanceRow{}
	for _, i := range v.instances {
		if pool != "" && i.Pool != pool {
			continue
		}
		d, ok := declared[i.ID]
		rows = append(rows, instanceRow{Instance: i, Address: d.Address, Zone: d.Zone, Rack: d.Rack, Declared: ok})
	}
	return rows
}

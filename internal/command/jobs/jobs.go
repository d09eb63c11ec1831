package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/maintenance"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"

	"github.com/urfave/cli/v3"
)

// errNoDaemon is returned when every daemon failed to answer.
var errNoDaemon = errors.New("no daemon answered")

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "jobs",
			Usage:     "show pools, executors and instances on the users' platform, from the dumps of the daemons",
			ArgsUsage: "METRICS-ADDRESS ...",
			Flags:     []cli.Flag{option.Output()},
			Action:    show,
		}
	})
}

// Status combines the duties that the queried daemons report in their dumps.
type Status struct {
	Pools       map[string]schedule.Summary `json:"pools"`
	Fleet       *maintenance.Summary        `json:"fleet,omitempty"`
	Owners      map[string]string           `json:"owners"` // address of the owning daemon by duty
	Unreachable []string                    `json:"silent"` // daemons that did not answer
}

// dump is the part of a daemon's state dump that is shown.
type dump struct {
	Duties map[string]json.RawMessage `json:"pool"`
}

func show(ctx context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return errors.New("jobs takes the metrics addresses of daemons, got none")
	}
	s, err := FetchStatus(ctx, c.Args().Slice())
	if err != nil {
		return err
	}
	return option.Print(c, s, s.tables()...)
}

// FetchStatus reads the state dumps of the daemons. It fails when none of them answers.
func FetchStatus(ctx context.Context, addresses []string) (Status, error) {
	s := Status{Pools: map[string]schedule.Summary{}, Owners: map[string]string{}, Unreachable: []string{}}
	var errs []error
	for _, address := range addresses {
		var d dump
		if err := option.FetchDump(ctx, address, &d); err != nil {
			s.Unreachable = append(s.Unreachable, address)
			errs = append(errs, err)
			continue
		}
		if err := s.add(address, d); err != nil {
			return s, err
		}
	}
	if len(errs) == len(addresses) {
		return s, errors.Join(append(errs, errNoDaemon)...)
	}
	return s, nil
}

// add adds the duties of one daemon. A pool reported with a lower epoch than the one already added is ignored.
func (s *Status) add(address string, d dump) error {
	for duty, data := range d.Duties {
		if duty == cluster.FleetDuty {
			s.Fleet = &maintenance.Summary{}
			if err := json.Unmarshal(data, s.Fleet); err != nil {
				return fmt.Errorf("dump of %s, duty %s: %w", address, duty, err)
			}
			s.Owners[duty] = address
			continue
		}
		var p schedule.Summary
		if err := json.Unmarshal(data, &p); err != nil {
			return fmt.Errorf("dump of %s, duty %s: %w", address, duty, err)
		}
		if existing, ok := s.Pools[duty]; ok && existing.Epoch > p.Epoch {
			continue
		}
		s.Pools[duty], s.Owners[duty] = p, address
	}
	return nil
}

func (s Status) tables() []option.Table {
	pools := option.Table{Header: []string{"pool", "owner", "epoch", "open", "ready", "unstored", "executors", "cores used", "of"}}
	executors := option.Table{Header: []string{"executor", "pool", "instance", "rack", "runs", "cores used", "of", "state"}}
	for _, pool := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[pool]
		var used, capacity int64
		list := slices.Clone(p.Executors)
		slices.SortFunc(list, func(a, b schedule.ExecutorSummary) int { return cmp.Compare(a.ID, b.ID) })
		for _, e := range list {
			used, capacity = used+e.Used.CPU, capacity+e.Capacity.CPU
			executors.Rows = append(executors.Rows, []string{
				e.ID, pool, option.Dash(e.Instance), option.Dash(e.Rack), strconv.Itoa(e.Runs), cores(e.Used.CPU), cores(e.Capacity.CPU), state(e),
			})
		}
		pools.Rows = append(pools.Rows, []string{
			pool, s.Owners[pool], strconv.FormatUint(p.Epoch, 10), strconv.Itoa(p.Open), strconv.Itoa(p.Ready), strconv.Itoa(p.Unstored),
			strconv.Itoa(len(p.Executors)), cores(used), cores(capacity),
		})
	}
	tables := []option.Table{pools, executors}
	if s.Fleet != nil {
		t := option.Table{Header: []string{"instance", "is emptied or away for"}}
		for _, name := range slices.Sorted(maps.Keys(s.Fleet.Operations)) {
			t.Rows = append(t.Rows, []string{name, s.Fleet.Operations[name]})
		}
		waves := option.Table{Header: []string{"wave", "instances done"}}
		for _, number := range slices.Sorted(maps.Keys(s.Fleet.Done)) {
			waves.Rows = append(waves.Rows, []string{strconv.FormatInt(number, 10), strconv.Itoa(s.Fleet.Done[number])})
		}
		for _, t := range []option.Table{t, waves} {
			if len(t.Rows) > 0 {
				tables = append(tables, t)
			}
		}
	}
	for _, address := range s.Unreachable {
		tables = append(tables, option.Table{Rows: [][]string{{address + " did not answer"}}})
	}
	return tables
}

// cores formats a CPU quantity given in millicores as cores.
func cores(millicores int64) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', 1, 64)
}

// state lists the conditions that keep an executor from taking tasks.
func state(e schedule.ExecutorSummary) string {
	var conditions []string
	for _, condition := range []struct {
		active bool
		text   string
	}{
		{!e.Open, "not open"},
		{e.Silent != 0, "silent for " + e.Silent.Round(time.Millisecond).String()},
		{e.Draining, "draining"},
		{e.Vacating, "being emptied"},
		{e.Quarantined, "barred"},
	} {
		if condition.active {
			conditions = append(conditions, condition.text)
		}
	}
	return option.Dash(strings.Join(conditions, ", "))
}

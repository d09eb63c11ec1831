package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/maintenance"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"
)

// errNoDaemon is returned when none of the daemons could be asked.
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

// askTimeout bounds the question to one daemon.
const askTimeout = 3 * time.Second

// Status is what the daemons that were asked say of the duties that they have.
type Status struct {
	Pools  map[string]schedule.Summary `json:"pools"`
	Fleet  *maintenance.Summary        `json:"fleet,omitempty"`
	Owners map[string]string           `json:"owners"` // address of the daemon by duty
	Silent []string                    `json:"silent"` // daemons that did not answer
}

// dump is the part of a daemon's state that is shown.
type dump struct {
	Duties map[string]json.RawMessage `json:"pool"`
}

func show(ctx context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return errors.New("jobs takes the metrics addresses of daemons, got none")
	}
	s, err := Ask(ctx, c.Args().Slice())
	if err != nil {
		return err
	}
	return option.Print(c, s, s.tables()...)
}

// Ask reads the dumps of daemons; it fails when none of them answers.
func Ask(ctx context.Context, addresses []string) (Status, error) {
	s := Status{Pools: map[string]schedule.Summary{}, Owners: map[string]string{}, Silent: []string{}}
	var failed []error
	for _, address := range addresses {
		d, err := ask(ctx, address)
		if err != nil {
			s.Silent = append(s.Silent, address)
			failed = append(failed, err)
			continue
		}
		if err := s.add(address, d); err != nil {
			return s, err
		}
	}
	if len(failed) == len(addresses) {
		return s, errors.Join(append(failed, errNoDaemon)...)
	}
	return s, nil
}

func ask(ctx context.Context, address string) (dump, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var d dump
	r, err := sling.New().Base("http://" + address).Get("/dump").Request()
	if err != nil {
		return d, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := sling.New().Do(r.WithContext(ctx), &d, nil)
	if err != nil {
		return d, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return d, fmt.Errorf("%s answered %d", address, response.StatusCode)
	}
	return d, nil
}

// add takes the duties of one daemon; of two owners of a pool, the later one counts.
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
		if before, ok := s.Pools[duty]; ok && before.Epoch > p.Epoch {
			continue
		}
		s.Pools[duty], s.Owners[duty] = p, address
	}
	return nil
}

func (s Status) tables() []option.Table {
	pools := option.Table{Head: []string{"pool", "owner", "epoch", "open", "ready", "unstored", "executors", "cores used", "of"}}
	executors := option.Table{Head: []string{"executor", "pool", "instance", "rack", "runs", "cores used", "of", "state"}}
	for _, pool := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[pool]
		var used, all int64
		list := slices.Clone(p.Executors)
		slices.SortFunc(list, func(a, b schedule.ExecutorSummary) int { return cmp.Compare(a.ID, b.ID) })
		for _, e := range list {
			used, all = used+e.Used.CPU, all+e.Capacity.CPU
			executors.Rows = append(executors.Rows, []string{
				e.ID, pool, option.Dash(e.Instance), option.Dash(e.Rack), strconv.Itoa(e.Runs), cores(e.Used.CPU), cores(e.Capacity.CPU), state(e),
			})
		}
		pools.Rows = append(pools.Rows, []string{
			pool, s.Owners[pool], strconv.FormatUint(p.Epoch, 10), strconv.Itoa(p.Open), strconv.Itoa(p.Ready), strconv.Itoa(p.Unstored),
			strconv.Itoa(len(p.Executors)), cores(used), cores(all),
		})
	}
	tables := []option.Table{pools, executors}
	if s.Fleet != nil {
		t := option.Table{Head: []string{"instance", "is emptied or away for"}}
		for _, name := range slices.Sorted(maps.Keys(s.Fleet.Operations)) {
			t.Rows = append(t.Rows, []string{name, s.Fleet.Operations[name]})
		}
		waves := option.Table{Head: []string{"wave", "instances done"}}
		for _, number := range slices.Sorted(maps.Keys(s.Fleet.Done)) {
			waves.Rows = append(waves.Rows, []string{strconv.FormatInt(number, 10), strconv.Itoa(s.Fleet.Done[number])})
		}
		for _, t := range []option.Table{t, waves} {
			if len(t.Rows) > 0 {
				tables = append(tables, t)
			}
		}
	}
	for _, address := range s.Silent {
		tables = append(tables, option.Table{Rows: [][]string{{address + " did not answer"}}})
	}
	return tables
}

// cores prints thousandths of a core.
func cores(thousandths int64) string {
	return strconv.FormatFloat(float64(thousandths)/1000, 'f', 1, 64)
}

// state names what keeps an executor from taking tasks.
func state(e schedule.ExecutorSummary) string {
	var words []string
	for _, x := range []struct {
		holds bool
		word  string
	}{
		{!e.Open, "not open"},
		{e.Silent != 0, "silent for " + e.Silent.Round(time.Millisecond).String()},
		{e.Draining, "draining"},
		{e.Vacating, "being emptied"},
		{e.Quarantined, "barred"},
	} {
		if x.holds {
			words = append(words, x.word)
		}
	}
	return option.Dash(strings.Join(words, ", "))
}

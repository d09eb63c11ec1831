package process

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/protocol/operator"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/model/record"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:  "status",
			Usage: "show an entry instance's view of its site and the most frequent misspelled names",
			Flags: append(option.Operator(), &cli.BoolFlag{
				Name: "config", Usage: "show only the configuration version in force in each entry instance",
			}),
			Action: status,
		}
	})
}

// summary adds the tables that the command prints to an entry instance's status.
type summary struct {
	operator.Status
}

// version is the configuration version in force in one entry instance.
type version struct {
	Entry  string    `json:"entry"`
	Zone   string    `json:"zone"`
	Config uint64    `json:"config"`
	Since  time.Time `json:"since"`
}

func status(ctx context.Context, c *cli.Command) error {
	if _, err := option.Arguments(c, 0, 0); err != nil {
		return err
	}
	s, err := getJSON[summary](ctx, c, "/status", nil)
	if err != nil {
		return err
	}
	if c.Bool("config") {
		versions := s.versions()
		return option.Print(c, versions, versionTable(versions))
	}
	return option.Print(c, s, s.tables()...)
}

// versions returns the version in force in each member, and in the queried entry instance if it is not a member.
func (s summary) versions() []version {
	versions := make([]version, 0, len(s.Members)+1)
	for _, m := range s.Members {
		versions = append(versions, version{Entry: m.Entry, Zone: m.Zone, Config: m.Config, Since: m.Since})
	}
	if !slices.ContainsFunc(versions, func(v version) bool { return v.Entry == s.Name }) {
		versions = append(versions, version{Entry: s.Name, Zone: s.Zone, Config: s.Config})
	}
	return versions
}

func versionTable(versions []version) option.Table {
	t := option.Table{Header: []string{"entry", "zone", "config", "since"}}
	for _, v := range versions {
		since := "-"
		if !v.Since.IsZero() {
			since = v.Since.Format(time.RFC3339)
		}
		t.Rows = append(t.Rows, []string{v.Entry, v.Zone, number(v.Config), since})
	}
	return t
}

// tables returns one table for each non-empty part of the status.
func (s summary) tables() []option.Table {
	all := []option.Table{
		{Header: []string{"entry", "site", "zone", "config"}, Rows: [][]string{{s.Name, s.Site, s.Zone, number(s.Config)}}},
		versionTable(s.versions()),
		{Header: []string{"service", "fleet", "pool", "owner", "epoch", "budget", "out"}},
		{Header: []string{"pool", "fleet", "instances", "states"}},
		{Header: []string{"wave", "phase", "selects", "at a time"}},
		{Header: []string{"misspelled", "corrected to", "count"}},
	}
	for _, v := range s.Services {
		all[2].Rows = append(all[2].Rows, []string{
			v.Name, v.Fleet, v.Pool, option.Dash(v.Owner), number(v.Epoch), strconv.Itoa(v.Budget), option.Dash(strings.Join(v.Out, ",")),
		})
	}
	for _, p := range s.Pools {
		all[3].Rows = append(all[3].Rows, []string{p.Name, option.Dash(p.Fleet), strconv.Itoa(p.Instances), stateCounts(p.States)})
	}
	for _, w := range s.Waves {
		all[4].Rows = append(all[4].Rows, []string{w.ID, string(w.Phase), selection(w), strconv.Itoa(w.MaxUnavailable)})
	}
	for _, m := range s.Misspellings {
		all[5].Rows = append(all[5].Rows, []string{m.Name, option.Dash(m.Service), fmt.Sprint(m.Total())})
	}
	return slices.DeleteFunc(all, func(t option.Table) bool { return len(t.Rows) == 0 })
}

// stateCounts formats the number of instances in each state, without states that have none.
func stateCounts(states map[string]int) string {
	var parts []string
	for _, s := range []record.InstanceState{record.Serving, record.Draining, record.Rebooting, record.Out} {
		if n := states[string(s)]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, s))
		}
	}
	return option.Dash(strings.Join(parts, ", "))
}

// selection describes which instances a wave covers.
func selection(w record.Wave) string {
	var parts []string
	for _, p := range []struct{ kind, name string }{{"pool", w.Pool}, {"zone", w.Zone}, {"rack", w.Rack}} {
		if p.name != "" {
			parts = append(parts, p.kind+" "+p.name)
		}
	}
	if len(w.Instances) > 0 {
		parts = append(parts, fmt.Sprintf("%d instances", len(w.Instances)))
	}
	return option.Dash(strings.Join(parts, ", "))
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}

package config

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/settings/file"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "check",
			Usage:     "check configuration files and list all their faults; contacts nothing",
			ArgsUsage: "BASE.json [OVERLAY.json ...]",
			Description: "Overlays of one site are merged in the order given; overlays of different sites\n" +
				"are checked one site after the other.",
			Flags:  []cli.Flag{option.Output()},
			Action: check,
		}
	})
}

// summary describes a valid configuration.
type summary struct {
	Site        string `json:"site"`
	Region      string `json:"region"`
	Teams       int    `json:"teams"`
	Pools       int    `json:"pools"`
	Instances   int    `json:"instances"`
	Services    int    `json:"services"`
	Corrections int    `json:"corrections"`
}

func check(_ context.Context, c *cli.Command) error {
	paths, err := option.Arguments(c, 1, -1)
	if err != nil {
		return err
	}
	base, overlays, err := readSources(paths)
	if err != nil {
		return err
	}
	summaries, faults := checkSites(base, overlays)
	if err := faults.Err(); err != nil {
		return fmt.Errorf("invalid configuration:\n%w", err)
	}
	t := option.Table{Header: []string{"site", "region", "teams", "pools", "instances", "services", "corrections"}}
	for _, s := range summaries {
		t.Rows = append(t.Rows, []string{
			s.Site, s.Region, strconv.Itoa(s.Teams), strconv.Itoa(s.Pools),
			strconv.Itoa(s.Instances), strconv.Itoa(s.Services), strconv.Itoa(s.Corrections),
		})
	}
	return option.Print(c, summaries, t)
}

// checkSites reads the base file with the overlays of each site, or on its own if there are no overlays.
func checkSites(base file.Source, overlays []file.Source) ([]summary, strict.Faults) {
	var summaries []summary
	var faults strict.Faults
	for _, group := range bySite(overlays) {
		config, err := file.Read(base, group...)
		if err != nil {
			faults = appendNew(faults, strict.FaultsOf(err))
			continue
		}
		summaries = append(summaries, summarize(config))
	}
	return summaries, faults
}

// bySite groups overlays by site and keeps their order.
func bySite(overlays []file.Source) [][]file.Source {
	if len(overlays) == 0 {
		return [][]file.Source{nil}
	}
	var groups [][]file.Source
	indexBySite := map[string]int{}
	for _, o := range overlays {
		site := file.OverlaySite(o)
		i, ok := indexBySite[site]
		if !ok {
			i = len(groups)
			indexBySite[site] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], o)
	}
	return groups
}

// appendNew appends the faults that are not listed yet: each site repeats those of the base file.
func appendNew(faults, found strict.Faults) strict.Faults {
	for _, f := range found {
		if !slices.Contains(faults, f) {
			faults = append(faults, f)
		}
	}
	return faults
}

func summarize(config file.Config) summary {
	f := config.Fleet
	return summary{
		Site: config.Site, Region: f.Region, Teams: len(f.Teams), Pools: len(f.Pools),
		Instances: countInstances(f), Services: len(f.Services), Corrections: len(f.Corrections),
	}
}

func countInstances(f fleet.Fleet) int {
	n := 0
	for _, p := range f.Pools {
		n += len(p.Instances)
	}
	return n
}

package planner

import (
	"encoding/json"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

const (
	maintainHours = 6 * 7 * 24 // every instance is maintained once in 6 weeks
	failuresDaily = 19
	restartsDaily = 250
	// recordsPerRestart are written when a replacement is placed: none by the planner, one by an operator's move.
	recordsPerRestart = 1
)

// platform measures the planner's writes for one wave over the site, whole and with a rack or a zone lost.
func platform(r *results, seed uint64) error {
	f := site(twoYearWorkers, twoYearPools)
	t := newTimes(f, seed)
	lost := f.Pools[0].Instances[0]
	cases := []struct {
		name string
		keep func(fleet.Instance) bool
	}{
		{"whole", all},
		{"rack-lost", func(i fleet.Instance) bool { return i.Zone != lost.Zone || i.Rack != lost.Rack }},
		{"zone-lost", func(i fleet.Instance) bool { return i.Zone != lost.Zone }},
	}
	for _, c := range cases {
		expect := t.expect()
		var bytes int
		var fault error
		expect.OnWrite = func(v record.Record) {
			text, err := json.Marshal(v)
			bytes += len(text) + len(v.Key())
			if err != nil {
				fault = err
			}
		}
		plan, err := wave.DryRun(known(f, c.keep), record.Wave{ID: "w"}, begin, expect)
		if err != nil {
			return err
		}
		if fault != nil {
			return fault
		}
		hours := plan.End.Sub(begin).Hours()
		r.figure("wave.writes."+c.name, float64(plan.Writes), "writes/wave")
		r.figure("wave.moves."+c.name, float64(len(plan.Outages)), "instances")
		if c.name == "whole" {
			r.figure("wave.writes.rate", float64(plan.Writes)/hours, "writes/h")
			r.figure("wave.bytes.rate", float64(bytes)/hours, "bytes/h")
			daily := float64(failuresDaily+restartsDaily) * recordsPerRestart / 24
			r.figure("wave.writes.mean", float64(plan.Writes)/maintainHours+daily, "writes/h")
			r.figure("wave.bytes.mean", float64(bytes)/maintainHours+daily*float64(bytes)/float64(plan.Writes), "bytes/h")
		}
	}
	return nil
}

package correct_test

import (
	"fmt"
	"testing"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/fleet"

	qt "github.com/frankban/quicktest"
)

func sampleFleet() fleet.Fleet {
	return fleet.Fleet{
		Services: []fleet.Service{
			{Name: "flag-calendar", Fleet: "flags", Nearest: 2},
			{Name: "flag-notices", Fleet: "flags", Nearest: 1},
			{Name: "mourning-days", Fleet: "flags"},
			{Name: "rake-1", Fleet: "rist", Nearest: 1},
			{Name: "rake-2", Fleet: "rist", Nearest: 1},
			{Name: "flag-notizen", Fleet: "rist", Nearest: 2},
		},
		Corrections: []fleet.Correction{
			{From: "calender", To: "flag-calender", Source: "kartli"},
			{From: "flag-calender", To: "flag-calendar", Source: fleet.SourceBase},
			{From: "rake-l", To: "rake-1", Source: fleet.SourceBase},
			{From: "lost", To: "gone"},
			{From: "round", To: "about"},
			{From: "about", To: "round"},
			{From: "crossing", To: "rake-1", Fleet: "flags"},
		},
	}
}

// Guards against a rule that is applied wrongly or in the wrong order.
func TestLookup(t *testing.T) {
	c := qt.New(t)
	index := correct.New(sampleFleet())
	for _, test := range []struct {
		name string
		q    correct.Query
		want correct.Result
	}{
		{"exact", correct.Query{Name: "flag-calendar"}, correct.Exact{Service: "flag-calendar"}},
		{"exact in capitals", correct.Query{Name: "Flag-Calendar"}, correct.Exact{Service: "flag-calendar"}},
		{"exact of another fleet", correct.Query{Name: "rake-1", Fleet: "flags", Idempotent: true}, correct.Unknown{}},
		{"correction", correct.Query{Name: "flag-calender"}, correct.Corrected{From: "flag-calender", Service: "flag-calendar", Rule: correct.RuleCorrection, Source: "base"}},
		{"chain", correct.Query{Name: "Calender"}, correct.Corrected{From: "Calender", Service: "flag-calendar", Rule: correct.RuleCorrection, Source: "kartli"}},
		{"correction before nearest", correct.Query{Name: "rake-l", Idempotent: true}, correct.Corrected{From: "rake-l", Service: "rake-1", Rule: correct.RuleCorrection, Source: "base"}},
		{"correction of another fleet", correct.Query{Name: "rake-l", Fleet: "flags", Idempotent: true}, correct.Unknown{}},
		{"correction to nothing", correct.Query{Name: "lost"}, correct.Unknown{}},
		{"loop", correct.Query{Name: "round"}, correct.Unknown{}},
		{"correction across fleets", correct.Query{Name: "crossing"}, correct.Unknown{}},
		{"nearest", correct.Query{Name: "flagcalender", Idempotent: true}, correct.Corrected{From: "flagcalender", Service: "flag-calendar", Rule: correct.RuleNearest, Source: "distance 2"}},
		{"nearest not idempotent", correct.Query{Name: "flagcalender"}, correct.Unknown{Suggestions: []string{"flag-calendar"}}},
		{"nearest not allowed", correct.Query{Name: "morning-days", Idempotent: true}, correct.Unknown{Suggestions: []string{"mourning-days"}}},
		{"two at the least distance", correct.Query{Name: "rake-3", Idempotent: true}, correct.Ambiguous{Candidates: []string{"rake-1", "rake-2"}}},
		{"two fleets", correct.Query{Name: "flag-notizes", Idempotent: true}, correct.Ambiguous{Candidates: []string{"flag-notices", "flag-notizen"}}},
		{"two fleets, one asked", correct.Query{Name: "flag-notizes", Fleet: "flags", Idempotent: true}, correct.Corrected{From: "flag-notizes", Service: "flag-notices", Rule: correct.RuleNearest, Source: "distance 1"}},
		{"far", correct.Query{Name: "something-else", Idempotent: true}, correct.Unknown{}},
		{"empty", correct.Query{Idempotent: true}, correct.Unknown{}},
	} {
		c.Check(index.Lookup(test.q), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

// Guards against a result type that Service, Candidates or Counts does not handle.
func TestEveryResultIsHandled(t *testing.T) {
	c := qt.New(t)
	for _, r := range []correct.Result{correct.Exact{}, correct.Corrected{}, correct.Ambiguous{}, correct.Unknown{}} {
		_, ok := correct.Service(r)
		c.Check(ok && correct.Candidates(r) != nil, qt.IsFalse)
		c.Check(correct.NewCounts().WithResult("x", r).Len() <= 1, qt.IsTrue)
	}
	header := correct.Corrected{From: "calender", Service: "flag-calendar", Rule: correct.RuleNearest}.String()
	c.Check(header, qt.Equals, "calender>flag-calendar (nearest)")
}

// Guards against a table that grows with the names that callers send, or that evicts a frequent name.
func TestCountsAreBounded(t *testing.T) {
	c := qt.New(t)
	counts := correct.NewCounts()
	frequent := correct.Corrected{From: "calender", Service: "flag-calendar", Rule: correct.RuleCorrection}
	for i := range 4 * correct.MaxNames {
		counts = counts.WithResult(fmt.Sprintf("name-%d", i), correct.Unknown{})
		counts = counts.WithResult("Calender", frequent)
	}
	c.Check(counts.Len(), qt.Equals, correct.MaxNames)
	top := counts.Top(3)
	c.Check(top, qt.HasLen, 3)
	c.Check(top[0], qt.Equals, correct.NameCount{Name: "calender", Service: "flag-calendar", Corrected: 4 * correct.MaxNames})
	c.Check(top[1].Refused, qt.Equals, uint64(1))
}

// Guards against a change that shows in an earlier copy of the table.
func TestCountsAreImmutable(t *testing.T) {
	c := qt.New(t)
	before := correct.NewCounts().WithResult("calender", correct.Unknown{})
	after := before.WithResult("calender", correct.Unknown{}).WithResult("flag", correct.Ambiguous{})
	c.Check(before.Top(9), qt.DeepEquals, []correct.NameCount{{Name: "calender", Refused: 1}})
	c.Check(after.Top(9), qt.DeepEquals, []correct.NameCount{{Name: "calender", Refused: 2}, {Name: "flag", Refused: 1}})
	c.Check(after.WithResult("flag-calendar", correct.Exact{Service: "flag-calendar"}).Len(), qt.Equals, 2)
}

func largeFleet() fleet.Fleet {
	var f fleet.Fleet
	for i := range 95 {
		name := fmt.Sprintf("service-%c%c-%d", 'a'+i%26, 'a'+i/4, i)
		f.Services = append(f.Services, fleet.Service{Name: name, Fleet: fmt.Sprint("fleet-", i%4), Nearest: 2})
		f.Corrections = append(f.Corrections, fleet.Correction{From: fmt.Sprintf("svc%d", i), To: name})
	}
	return f
}

// BenchmarkLookup measures each rule in a fleet of 95 services.
func BenchmarkLookup(b *testing.B) {
	index := correct.New(largeFleet())
	for name, q := range map[string]correct.Query{
		"exact":      {Name: "service-aa-0", Idempotent: true},
		"correction": {Name: "svc17", Idempotent: true},
		"nearest":    {Name: "servise-aa-0", Idempotent: true},
		"unknown":    {Name: "something", Idempotent: true},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				index.Lookup(q)
			}
		})
	}
}

// BenchmarkCounts measures the insertion of new names, mostly into a full table.
func BenchmarkCounts(b *testing.B) {
	counts := correct.NewCounts()
	for i := 0; b.Loop(); i++ {
		counts = counts.WithResult(fmt.Sprint(i), correct.Unknown{})
	}
}

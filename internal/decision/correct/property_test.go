package correct_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/model/fleet"

	"pgregory.net/rapid"
)

// names generates short names of few letters, so that many are within a small edit distance of each other.
var names = rapid.StringMatching(`[abA]{1,5}|[abé]{2,4}`)

var fleets = rapid.SampledFrom([]string{"north", "south"})

func drawFleet(t *rapid.T) fleet.Fleet {
	var f fleet.Fleet
	taken := map[string]bool{}
	for range rapid.IntRange(0, 8).Draw(t, "services") {
		name := names.Draw(t, "service")
		if taken[fleet.Normalize(name)] {
			continue
		}
		taken[fleet.Normalize(name)] = true
		f.Services = append(f.Services, fleet.Service{
			Name: name, Fleet: fleets.Draw(t, "fleet"), Nearest: rapid.IntRange(0, 3).Draw(t, "nearest"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "corrections") {
		from := names.Draw(t, "from")
		if taken[fleet.Normalize(from)] {
			continue
		}
		taken[fleet.Normalize(from)] = true
		to := rapid.OneOf(names, rapid.Just("a")).Draw(t, "to")
		if len(f.Services) > 0 && rapid.Bool().Draw(t, "known") {
			to = rapid.SampledFrom(f.Services).Draw(t, "target").Name
		}
		f.Corrections = append(f.Corrections, fleet.Correction{From: from, To: to, Source: fleet.SourceBase})
	}
	return f
}

func drawQuery(t *rapid.T) correct.Query {
	return correct.Query{
		Name:       names.Draw(t, "name"),
		Fleet:      rapid.OneOf(fleets, rapid.Just("")).Draw(t, "asked"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
}

// Guards against results that depend on the order of the configuration or on an earlier lookup.
func TestLookupIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := drawFleet(t), drawQuery(t)
		index := correct.New(f)
		want := index.Lookup(q)
		services, corrections := slices.Clone(f.Services), slices.Clone(f.Corrections)
		slices.Reverse(services)
		slices.Reverse(corrections)
		again := correct.New(f.WithServices(services).WithCorrections(corrections))
		for _, got := range []correct.Result{index.Lookup(q), again.Lookup(q)} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%#v, then %#v", want, got)
			}
		}
	})
}

// Guards against a request for one fleet that is sent to another fleet or is shown its service names.
func TestLookupStaysInFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := drawFleet(t), drawQuery(t)
		if q.Fleet == "" {
			q.Fleet = "north"
		}
		r := correct.New(f).Lookup(q)
		shown := correct.Candidates(r)
		if service, ok := correct.Service(r); ok {
			shown = append(shown, service)
		}
		for _, name := range shown {
			if s, ok := f.Service(name); !ok || s.Fleet != q.Fleet {
				t.Fatalf("%#v leads to %q of fleet %q", r, name, s.Fleet)
			}
		}
	})
}

// Guards against a non-idempotent request, such as a rake command, that is sent to a similar service by mistake.
func TestNearestNeedsIdempotence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := drawFleet(t), drawQuery(t)
		q.Idempotent = false
		if r, ok := correct.New(f).Lookup(q).(correct.Corrected); ok && r.Rule == correct.RuleNearest {
			t.Fatalf("%#v for %#v", r, q)
		}
	})
}

// Guards against a nearest match that overrides a configured correction.
func TestCorrectionWinsOverNearest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		if len(f.Services) == 0 {
			t.Skip("no service to correct to")
		}
		to := rapid.SampledFrom(f.Services).Draw(t, "to")
		from := names.Draw(t, "misspelled")
		if isService(f, from) {
			t.Skip("the name is a service")
		}
		others := slices.DeleteFunc(f.Corrections, func(c fleet.Correction) bool {
			return fleet.Normalize(c.From) == fleet.Normalize(from)
		})
		f = f.WithCorrections(append(others, fleet.Correction{From: from, To: to.Name, Source: "kartli"}))
		want := correct.Corrected{From: from, Service: to.Name, Rule: correct.RuleCorrection, Source: "kartli"}
		if got := correct.New(f).Lookup(correct.Query{Name: from, Idempotent: true}); got != want {
			t.Fatalf("%#v instead of %#v", got, want)
		}
	})
}

// Guards against services that the search by length misses and against wrong distances from the library.
func TestNearestAgreesWithFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, q := drawFleet(t), drawQuery(t)
		q.Idempotent = true
		f = f.WithCorrections(nil)
		if isService(f, q.Name) {
			t.Skip("the name is a service")
		}
		service, ok := correct.Service(correct.New(f).Lookup(q))
		if want := referenceNearest(f, q); service != want {
			t.Fatalf("%q (%t) instead of %q", service, ok, want)
		}
	})
}

func isService(f fleet.Fleet, name string) bool {
	return slices.ContainsFunc(f.Services, func(s fleet.Service) bool {
		return fleet.Normalize(s.Name) == fleet.Normalize(name)
	})
}

// referenceNearest is a reference implementation of the nearest rule: it returns the only service at the least distance
// if that service allows the distance and no service of another fleet allows its own distance.
func referenceNearest(f fleet.Fleet, q correct.Query) string {
	least, best := 1<<30, []fleet.Service{}
	allowed := map[string]bool{}
	for _, s := range f.Services {
		if q.Fleet != "" && s.Fleet != q.Fleet {
			continue
		}
		d := distance([]rune(fleet.Normalize(q.Name)), []rune(fleet.Normalize(s.Name)))
		if d <= s.Nearest {
			allowed[s.Fleet] = true
		}
		switch {
		case d < least:
			least, best = d, []fleet.Service{s}
		case d == least:
			best = append(best, s)
		}
	}
	if len(best) != 1 || len(allowed) != 1 || best[0].Nearest < least {
		return ""
	}
	return best[0].Name
}

// distance is the recursive definition of the edit distance.
func distance(a, b []rune) int {
	switch {
	case len(a) == 0:
		return len(b)
	case len(b) == 0:
		return len(a)
	case a[0] == b[0]:
		return distance(a[1:], b[1:])
	}
	return 1 + min(distance(a[1:], b), distance(a, b[1:]), distance(a[1:], b[1:]))
}

// Guards against comparing a long name, whose cost grows with the square of the length.
func TestLongNamesAreNotCompared(t *testing.T) {
	f := fleet.Fleet{Services: []fleet.Service{{Name: strings.Repeat("a", 256), Nearest: 3}}}
	r := correct.New(f).Lookup(correct.Query{Name: strings.Repeat("a", 257), Idempotent: true})
	if !reflect.DeepEqual(r, correct.Unknown{}) {
		t.Fatalf("%#v", r)
	}
}

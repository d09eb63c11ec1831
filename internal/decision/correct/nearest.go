package correct

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
)

const (
	// maxSuggestionDistance is the edit distance up to which names are suggested even if no service allows the nearest
	// rule.
	maxSuggestionDistance = 2
	// maxSuggestions limits the names listed in a refusal.
	maxSuggestions = 5
	// maxComparedLength is the length in code points above which a name is not compared with service names, since the
	// cost grows with the length and callers choose it.
	maxComparedLength = 255
)

// candidate is a service whose name is similar to the requested one.
type candidate struct {
	service  service
	distance int
}

// candidates is a list of candidates, ordered by edit distance and then by name.
type candidates []candidate

// similar returns the services of the requested fleet that are within maxDistance of a normalized name.
func (x Index) similar(name, fleet string) candidates {
	var found candidates
	text := []rune(name)
	if len(text) > maxComparedLength {
		return nil
	}
	for length := len(text) - x.maxDistance; length <= len(text)+x.maxDistance; length++ {
		for _, s := range x.byLength[length] {
			if !inFleet(s, fleet) {
				continue
			}
			if d := distance(text, s.text); d <= x.maxDistance {
				found = append(found, candidate{service: s, distance: d})
			}
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if d := a.distance - b.distance; d != 0 {
			return d
		}
		return strings.Compare(a.service.name, b.service.name)
	})
	return found
}

// distance returns the edit distance in code points.
//
// It passes 0 for no maximum cost, because agext/levenshtein v1.2.3 can return too small a distance if a maximum is
// set, for example 2 for "bbbb" and "aaaa" with a maximum of 2.
func distance(a, b []rune) int {
	d, _, _ := levenshtein.Calculate(a, b, 0, 1, 1, 1)
	return d
}

// resolve applies the nearest rule.
//
// A service that does not allow the rule is never chosen. It still makes the name
// ambiguous if it is as close as the best candidate, since the caller may mean that service.
func (list candidates) resolve(from string) Result {
	eligible := list.eligible()
	if len(eligible) == 0 {
		return Unknown{Suggestions: list.names()}
	}
	best := list.closest()
	switch {
	case len(best) > 1, !sameFleet(eligible):
		return Ambiguous{Candidates: append(best, eligible...).names()}
	case best[0].distance > best[0].service.nearest:
		return Unknown{Suggestions: list.names()}
	}
	return Corrected{
		From: from, Service: best[0].service.name, Rule: RuleNearest,
		Source: fmt.Sprintf("distance %d", best[0].distance),
	}
}

// eligible returns the candidates whose service allows the nearest rule at their distance.
func (list candidates) eligible() candidates {
	var found candidates
	for _, c := range list {
		if c.distance <= c.service.nearest {
			found = append(found, c)
		}
	}
	return found
}

// closest returns the candidates at the least distance.
func (list candidates) closest() candidates {
	var found candidates
	for _, c := range list {
		if c.distance == list[0].distance {
			found = append(found, c)
		}
	}
	return found
}

func sameFleet(list candidates) bool {
	for _, c := range list {
		if c.service.fleet != list[0].service.fleet {
			return false
		}
	}
	return true
}

// names returns the distinct names of the first candidates, at most maxSuggestions.
func (list candidates) names() []string {
	var names []string
	for _, c := range list {
		if len(names) < maxSuggestions && !slices.Contains(names, c.service.name) {
			names = append(names, c.service.name)
		}
	}
	return names
}

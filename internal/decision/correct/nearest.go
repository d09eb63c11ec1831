package correct

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
)

const (
	// hintDistance is the largest edit distance of a name that is only shown as a hint.
	hintDistance = 2
	// maxHints bounds the names in a refusal.
	maxHints = 5
	// maxLength is the longest name, in code points, that is compared with service names.
	maxLength = 255
)

// neighbour is a service near a name.
type neighbour struct {
	service  service
	distance int
}

// neighbourhood lists the services near a name, nearest first, then by name.
type neighbourhood []neighbour

// near returns the services of the asked fleet within reach of a normalized name.
func (x Index) near(name, asked string) neighbourhood {
	var found neighbourhood
	text := []rune(name)
	if len(text) > maxLength {
		return nil
	}
	for l := len(text) - x.reach; l <= len(text)+x.reach; l++ {
		for _, s := range x.byLength[l] {
			if !inFleet(s, asked) {
				continue
			}
			if d := distance(text, s.text); d <= x.reach {
				found = append(found, neighbour{service: s, distance: d})
			}
		}
	}
	slices.SortFunc(found, func(a, b neighbour) int {
		if d := a.distance - b.distance; d != 0 {
			return d
		}
		return strings.Compare(a.service.name, b.service.name)
	})
	return found
}

// distance returns the edit distance in code points.
//
// It sets no maximum cost: with one, agext/levenshtein v1.2.3 can return less
// than the distance, such as 2 for "bbbb" and "aaaa" with a maximum of 2.
func distance(a, b []rune) int {
	d, _, _ := levenshtein.Calculate(a, b, 0, 1, 1, 1)
	return d
}

// decide applies the nearest rule.
//
// A service that does not allow the rule is never chosen, but it still counts
// when it is as near as the best candidate: the name may mean that service.
func (n neighbourhood) decide(from string) Result {
	candidates := n.eligible()
	if len(candidates) == 0 {
		return Unknown{Near: n.hint()}
	}
	best := n.nearest()
	switch {
	case len(best) > 1, !sameFleet(candidates):
		return Ambiguous{Candidates: append(best, candidates...).hint()}
	case best[0].distance > best[0].service.nearest:
		return Unknown{Near: n.hint()}
	}
	return Corrected{
		From: from, Service: best[0].service.name, Rule: RuleNearest,
		Source: fmt.Sprintf("distance %d", best[0].distance),
	}
}

// eligible returns the services that allow the nearest rule at their distance.
func (n neighbourhood) eligible() neighbourhood {
	var found neighbourhood
	for _, c := range n {
		if c.distance <= c.service.nearest {
			found = append(found, c)
		}
	}
	return found
}

// nearest returns the services at the least distance.
func (n neighbourhood) nearest() neighbourhood {
	var found neighbourhood
	for _, c := range n {
		if c.distance == n[0].distance {
			found = append(found, c)
		}
	}
	return found
}

func sameFleet(n neighbourhood) bool {
	for _, c := range n {
		if c.service.fleet != n[0].service.fleet {
			return false
		}
	}
	return true
}

// hint returns the names of the nearest services, each once.
func (n neighbourhood) hint() []string {
	var names []string
	for _, c := range n {
		if len(names) < maxHints && !slices.Contains(names, c.service.name) {
			names = append(names, c.service.name)
		}
	}
	return names
}

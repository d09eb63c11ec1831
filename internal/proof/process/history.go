package process

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// History holds the calls of a load and the counters of the executors.
type History struct {
	Calls           []Call
	Executions      map[string]int // number of executions by idempotency key
	Oversubscribed  map[string]int // requests beyond the slots, by executor
	PeakConnections int            // highest number of open connections to one executor
}

// Collect returns the history of the given calls with the counters of every service's executors.
func (s *System) Collect(calls []Call) (History, error) {
	h := History{Calls: calls, Executions: map[string]int{}, Oversubscribed: map[string]int{}}
	for service := range s.options.Services {
		counters, err := s.Counters(service)
		if err != nil {
			return h, err
		}
		for id, c := range counters {
			for key, n := range c.Keys {
				if key = strings.Trim(key, `"`); key != "" {
					h.Executions[key] += n
				}
			}
			if c.Over > 0 {
				h.Oversubscribed[id] = c.Over
			}
			h.PeakConnections = max(h.PeakConnections, c.Most)
		}
	}
	return h, nil
}

// Violations returns a sorted description of every violated invariant.
func (h History) Violations() []string {
	var violations []string
	for key, n := range h.Executions {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	byKey := map[string][]Call{}
	for _, c := range h.Calls {
		if c.Mismatch != "" {
			violations = append(violations, fmt.Sprintf("%s%s: %s", c.Path, c.Key, c.Mismatch))
		}
		if c.Key != "" {
			byKey[c.Key] = append(byKey[c.Key], c)
		}
	}
	for key, calls := range byKey {
		violations = append(violations, keyViolations(key, calls, h.Executions[key])...)
	}
	slices.Sort(violations)
	return violations
}

// keyViolations compares the outcomes of the calls with one key to the number of its executions.
func keyViolations(key string, calls []Call, executions int) []string {
	answered := slices.ContainsFunc(calls, func(c Call) bool { return c.Outcome == "answered" })
	allNotRun := !slices.ContainsFunc(calls, func(c Call) bool { return c.Outcome != "not-run" })
	switch {
	case answered && executions == 0:
		return []string{fmt.Sprintf("key %s was answered but never ran", key)}
	case allNotRun && executions > 0:
		return []string{fmt.Sprintf("key %s was refused as not run but ran", key)}
	}
	return nil
}

// CountAnswered returns the number of answered calls and of all calls that started in [from, to), either idempotent or
// not.
func (h History) CountAnswered(idempotent bool, from, to time.Duration) (answered, total int) {
	for _, c := range h.Calls {
		if (c.Key == "") != idempotent || c.Start < from || c.Start >= to {
			continue
		}
		total++
		if c.Outcome == "answered" {
			answered++
		}
	}
	return answered, total
}

// LongestGap returns the longest time between the ends of consecutive answered calls to a service, starting at from.
func (h History) LongestGap(idempotent bool, service int, from time.Duration) time.Duration {
	var ends []time.Duration
	for _, c := range h.Calls {
		if (c.Key == "") == idempotent && c.Service == service && c.Outcome == "answered" && c.End >= from {
			ends = append(ends, c.End)
		}
	}
	slices.Sort(ends)
	longest, last := time.Duration(0), from
	for _, e := range ends {
		longest = max(longest, e-last)
		last = e
	}
	return longest
}

// Reasons returns the number of calls without an answer, by status, outcome and reason.
func (h History) Reasons() map[string]int {
	counts := map[string]int{}
	for _, c := range h.Calls {
		if c.Outcome != "answered" {
			reason := c.Reason
			if i := strings.Index(reason, `"reason":"`); i >= 0 {
				reason, _, _ = strings.Cut(reason[i+len(`"reason":"`):], `"`)
			} else if len(reason) > 40 {
				reason = reason[len(reason)-40:]
			}
			counts[fmt.Sprintf("%d %s %s", c.Status, c.Outcome, reason)]++
		}
	}
	return counts
}

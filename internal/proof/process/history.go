package process

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// History is what callers saw and what executors did.
type History struct {
	Calls       []Call
	Executions  map[string]int // by idempotency key
	Oversubscribed   map[string]int // requests over the slots by executor
	PeakConnections int            // most open connections of one executor
}

// Collect adds what the executors counted to the calls.
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

// Violations returns the broken invariants of a history, at most ten of each kind.
func (h History) Violations() []string {
	var faults []string
	for key, n := range h.Executions {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	byKey := map[string][]Call{}
	for _, c := range h.Calls {
		if c.Mismatch != "" {
			faults = append(faults, fmt.Sprintf("%s%s: %s", c.Path, c.Key, c.Mismatch))
		}
		if c.Key != "" {
			byKey[c.Key] = append(byKey[c.Key], c)
		}
	}
	for key, calls := range byKey {
		faults = append(faults, keyFaults(key, calls, h.Executions[key])...)
	}
	slices.Sort(faults)
	return faults
}

// keyFaults checks the outcomes of one key against its executions.
func keyFaults(key string, calls []Call, executions int) []string {
	answered := slices.ContainsFunc(calls, func(c Call) bool { return c.Outcome == "answered" })
	all := !slices.ContainsFunc(calls, func(c Call) bool { return c.Outcome != "not-run" })
	switch {
	case answered && executions == 0:
		return []string{fmt.Sprintf("key %s was answered but never ran", key)}
	case all && executions > 0:
		return []string{fmt.Sprintf("key %s was refused as not run but ran", key)}
	}
	return nil
}

// CountAnswered returns how many of the calls that began in a time window were answered, and their number.
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

// LongestGap returns the longest time without an answered call that ended after from.
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

// Reasons counts the calls that were not answered by status and reason.
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

package dispatch

import (
	"slices"
)

// Share is one (executor, slot) pair.
type Share struct {
	Executor string
	Slot     int
}

// StaticShare returns the pairs that a member may use without an owner.
//
// The pairs are assigned round robin over the sorted members, slot by slot, so
// that a member's pairs are spread over the executors. The arguments need no order.
func StaticShare(executors []string, slots int, members []string, member string) []Share {
	executors = slices.Compact(slices.Sorted(slices.Values(executors)))
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	position, found := slices.BinarySearch(members, member)
	if !found {
		return nil
	}
	var share []Share
	pair := 0
	for slot := range slots {
		for _, e := range executors {
			if pair%len(members) == position {
				share = append(share, Share{Executor: e, Slot: slot})
			}
			pair++
		}
	}
	return share
}

// shareCounts returns the number of a member's pairs per executor.
func shareCounts(executors []executor, slots int, members []string, member string) map[string]int {
	ids := make([]string, 0, len(executors))
	for _, e := range executors {
		ids = append(ids, e.target.ID)
	}
	counts := make(map[string]int, len(ids))
	for _, p := range StaticShare(ids, slots, members, member) {
		counts[p.Executor]++
	}
	return counts
}

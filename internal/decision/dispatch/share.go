package dispatch

import (
	"slices"
)

// Share is a slot of an executor.
type Share struct {
	Executor string
	Slot     int
}

// StaticShare returns the slots that a member may use while there is no owner.
//
// The slots are assigned round robin to the sorted members, first slot 0 of every
// executor, then slot 1, so that a member's slots are spread over the executors.
// The arguments need not be sorted.
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

// shareCounts returns the number of slots in a member's static share by executor ID.
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

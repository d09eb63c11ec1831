package dispatch

import (
	"slices"
)

// Slot is a slot of an executor.
type Slot struct {
	Executor string
	Index    int
}

// StaticShare returns the slots that a member may use without grants while there is no owner.
//
// The slots are assigned round robin to the sorted members, first slot 0 of every
// executor, then slot 1, so that a member's slots are spread over the executors.
// The arguments need not be sorted.
func StaticShare(executors []string, slots int, members []string, member string) []Slot {
	executors = slices.Compact(slices.Sorted(slices.Values(executors)))
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	position, found := slices.BinarySearch(members, member)
	if !found {
		return nil
	}
	var share []Slot
	assigned := 0
	for slot := range slots {
		for _, e := range executors {
			if assigned%len(members) == position {
				share = append(share, Slot{Executor: e, Index: slot})
			}
			assigned++
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
	for _, slot := range StaticShare(ids, slots, members, member) {
		counts[slot.Executor]++
	}
	return counts
}

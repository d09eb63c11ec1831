package relay

import (
	"cmp"
	"maps"
	"slices"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"

	"github.com/cespare/xxhash/v2"
)

// Limits of the assignment.
const (
	// ExecutorsPerRelay is the number of executors up to which a relay is filled. A relay on the smallest machine of the
	// users' sites, a fifth of a core, spends about half of it on the calls to so many busy executors.
	ExecutorsPerRelay = 16
	// maxOverfill is the number of executors that a relay keeps beyond ExecutorsPerRelay before some are moved away.
	maxOverfill = 8
)

// Input holds the facts that an assignment depends on.
type Input struct {
	Pool      string
	Self      string // name of the owner
	Executors []site.Executor
	Members   map[string]cluster.Member
	Busy      map[string]bool   // members that own a duty
	Suspected map[string]bool   // members that did not answer recently
	Current   map[string]string // relay by executor
}

// Assign returns the name of the relay of each executor. The owner calls executors without a relay itself, which are all
// of a small pool.
//
// An executor keeps its relay as long as that is chosen and not overfilled, because each change opens new connections.
// Relays are chosen by a hash of pool and name, so that pools use different ones, and in the zone of their executors.
func Assign(in Input) map[string]string {
	if len(in.Executors) <= ExecutorsPerRelay {
		return nil
	}
	byZone := groups(in.Executors)
	candidates := eligible(in)
	taken := map[string]bool{}
	assigned := make(map[string]string, len(in.Executors))
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		executors := byZone[zone]
		slices.Sort(executors)
		relays := choose(candidates, taken, zone, (len(executors)+ExecutorsPerRelay-1)/ExecutorsPerRelay)
		distribute(executors, relays, in.Current, assigned)
	}
	return assigned
}

// groups returns the executors by zone. Zones that would not fill half a relay form one group under the name "".
func groups(executors []site.Executor) map[string][]string {
	byZone := map[string][]string{}
	for _, e := range executors {
		byZone[e.Zone] = append(byZone[e.Zone], e.ID)
	}
	for zone, ids := range byZone {
		if zone != "" && len(ids) < ExecutorsPerRelay/2 {
			byZone[""] = append(byZone[""], ids...)
			delete(byZone, zone)
		}
	}
	return byZone
}

// eligible returns the members that may relay, ordered by their hash. Owners of duties are left out unless there is no
// other member.
func eligible(in Input) []cluster.Member {
	var idle, busy []cluster.Member
	for _, m := range in.Members {
		switch {
		case m.Name == in.Self || m.Leaving || in.Suspected[m.Name]:
		case in.Busy[m.Name]:
			busy = append(busy, m)
		default:
			idle = append(idle, m)
		}
	}
	if len(idle) == 0 {
		idle = busy
	}
	hash := func(m cluster.Member) uint64 { return xxhash.Sum64String(in.Pool + "\x00" + m.Name) }
	slices.SortFunc(idle, func(a, b cluster.Member) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a.Name, b.Name))
	})
	return idle
}

// choose takes up to n relays, those of the zone first.
func choose(candidates []cluster.Member, taken map[string]bool, zone string, n int) []string {
	var relays []string
	for _, sameZone := range []bool{true, false} {
		for _, m := range candidates {
			if len(relays) < n && !taken[m.Name] && (m.Zone == zone) == sameZone {
				taken[m.Name] = true
				relays = append(relays, m.Name)
			}
		}
	}
	return relays
}

// distribute assigns executors to relays, each to its present relay or to the one with the fewest executors.
func distribute(executors, relays []string, current, assigned map[string]string) {
	load := make(map[string]int, len(relays))
	var open []string
	for _, id := range executors {
		name := current[id]
		if slices.Contains(relays, name) && load[name] < ExecutorsPerRelay+maxOverfill {
			assigned[id] = name
			load[name]++
		} else {
			open = append(open, id)
		}
	}
	for _, id := range open {
		if len(relays) == 0 {
			return
		}
		least := slices.MinFunc(relays, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
		if load[least] >= ExecutorsPerRelay+maxOverfill {
			return
		}
		assigned[id] = least
		load[least]++
	}
}

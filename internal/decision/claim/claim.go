package claim

import (
	"cmp"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"

	"github.com/cespare/xxhash/v2"
)

// Times of a takeover.
const (
	// Settle is how long a daemon that has just started waits for others to appear.
	Settle = 400 * time.Millisecond
	// Return is how long after an outage of the store members that lapsed meanwhile may take to register again.
	Return = 1500 * time.Millisecond
	// Turn is how much later the next candidate claims a duty that the one before has not.
	Turn = 700 * time.Millisecond
)

// Orphans remembers since when duties have no live owner. It is immutable.
type Orphans struct {
	since map[string]time.Duration
}

// Input is what a decision depends on.
type Input struct {
	Now       time.Duration
	Self      cluster.Member
	Member    time.Duration // since when this daemon is a member
	StoreLost bool
	StoreBack time.Duration   // when the store last came back, 0 if it was never away
	Held      map[string]bool // duties that this daemon has or is taking over
	Directory cluster.Directory
}

// Duties returns the duties of a site: its pools that are not on standby, and the fleet.
func Duties(d cluster.Directory) []string {
	if d.Config == nil {
		return nil
	}
	duties := []string{cluster.FleetDuty}
	for _, p := range d.Config.Pools {
		if !p.Standby {
			duties = append(duties, p.Name)
		}
	}
	slices.Sort(duties)
	return duties
}

// Decide returns the duties that this daemon claims now: those without a live owner, when it is its turn, and those
// whose record names it although it does not have them, since the answer to its write was lost.
func Decide(o Orphans, in Input) (Orphans, []string) {
	orphans := map[string]time.Duration{}
	if !in.Directory.Listed || in.StoreLost || in.Now-in.Member < Settle {
		return Orphans{since: orphans}, nil
	}
	load := map[string]int{}
	var free, mine []string
	for _, duty := range Duties(in.Directory) {
		owner, ok := in.Directory.LiveOwner(duty)
		if ok && !in.Directory.Members[owner.Name].Leaving {
			load[owner.Name]++
			if owner.Name == in.Self.Name && !in.Held[duty] {
				mine = append(mine, duty)
			}
			continue
		}
		free = append(free, duty)
		since, ok := o.since[duty]
		if !ok {
			since = in.Now
		}
		orphans[duty] = since
	}
	claims := mine // the others see a live owner, so that nobody else takes them
	for _, duty := range free {
		order := candidates(in.Directory, duty, load)
		turn := slices.Index(order, in.Self.Name)
		if len(order) > 0 {
			load[order[0]]++
		}
		from := orphans[duty]
		if in.StoreBack != 0 {
			from = max(from, in.StoreBack+Return)
		}
		if turn >= 0 && in.Now >= from+time.Duration(turn)*Turn {
			claims = append(claims, duty)
		}
	}
	return Orphans{since: orphans}, claims
}

// candidates returns the daemons that may take a duty, those with the most power for each duty first.
func candidates(d cluster.Directory, duty string, load map[string]int) []string {
	var names []string
	for _, m := range d.Members {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(d.Members[b].Power/(load[b]+1), d.Members[a].Power/(load[a]+1)), cmp.Compare(load[a], load[b]),
			cmp.Compare(weight(duty, a), weight(duty, b)), cmp.Compare(a, b))
	})
	return names
}

func weight(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}

package claim

import (
	"cmp"
	"slices"
	"time"

	"teaselloft/internal/model/cluster"

	"github.com/cespare/xxhash/v2"
)

// Delays before a duty is claimed.
const (
	// StartupDelay is how long a daemon waits after it has become a member, so that other members can register.
	StartupDelay = 400 * time.Millisecond
	// RejoinDelay is how long members whose lease expired during a store outage get to register again once it is over.
	RejoinDelay = 1500 * time.Millisecond
	// CandidateDelay is the delay between two consecutive candidates for the same duty.
	CandidateDelay = 700 * time.Millisecond
)

// Orphans holds the duties without a live owner and the time at which each was first seen without one. It is immutable.
type Orphans struct {
	since map[string]time.Duration
}

// Input holds the facts that a decision depends on. Times are on the boot clock.
type Input struct {
	Now         time.Duration
	Self        cluster.Member
	MemberSince time.Duration // when this daemon became a member
	StoreLost   bool
	StoreBackAt time.Duration   // end of the last store outage, 0 if there was none
	Held        map[string]bool // duties that this daemon owns or is taking over
	Directory   cluster.Directory
}

// Duties returns the sorted names of a site's duties: the fleet and every pool that is not on standby.
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

// Decide returns the duties that this daemon claims now. These are the orphaned duties for which its delay as a
// candidate has passed, and the duties whose record names it although it does not hold them, which happens when the
// answer to its write was lost.
func Decide(o Orphans, in Input) (Orphans, []string) {
	orphans := map[string]time.Duration{}
	if !in.Directory.Listed || in.StoreLost || in.Now-in.MemberSince < StartupDelay {
		return Orphans{since: orphans}, nil
	}
	load := map[string]int{}
	var orphaned, unheld []string
	for _, duty := range Duties(in.Directory) {
		owner, ok := in.Directory.LiveOwner(duty)
		if ok && !in.Directory.Members[owner.Name].Leaving {
			load[owner.Name]++
			if owner.Name == in.Self.Name && !in.Held[duty] {
				unheld = append(unheld, duty)
			}
			continue
		}
		orphaned = append(orphaned, duty)
		since, ok := o.since[duty]
		if !ok {
			since = in.Now
		}
		orphans[duty] = since
	}
	claims := unheld // the other members see a live owner, so none of them claims these
	for _, duty := range orphaned {
		order := candidates(in.Directory, duty, load)
		position := slices.Index(order, in.Self.Name)
		if len(order) > 0 {
			load[order[0]]++
		}
		from := orphans[duty]
		if in.StoreBackAt != 0 {
			from = max(from, in.StoreBackAt+RejoinDelay)
		}
		if position >= 0 && in.Now >= from+time.Duration(position)*CandidateDelay {
			claims = append(claims, duty)
		}
	}
	return Orphans{since: orphans}, claims
}

// candidates returns the members that may claim a duty, ordered by descending power per duty. The claimed duty counts
// as one of theirs.
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
			cmp.Compare(tieBreak(duty, a), tieBreak(duty, b)), cmp.Compare(a, b))
	})
	return names
}

// tieBreak orders members of equal power and load, differently for each duty.
func tieBreak(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}

package claim

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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

// Delays before the first candidate repeats a takeover that failed or did not last. Each such takeover in a row doubles
// the delay.
const (
	// MinRetryDelay is short, because callers get 503 while a pool has no owner.
	MinRetryDelay = 100 * time.Millisecond
	// MaxRetryDelay keeps a daemon whose claims of 96 duties are all refused at fewer than 100 reads of the store a
	// second, 5% of what the store serves to all daemons.
	MaxRetryDelay = 2 * time.Second
	// MinTenure is the time for which this daemon must hold a duty before its takeover counts as lasting. It equals the
	// longest delay, so that an owner that steps down sooner does not return more often than one whose takeovers fail.
	MinTenure = MaxRetryDelay
)

// Orphans holds the duties without a live owner and the time at which each was first seen without one, and this
// daemon's takeovers that failed or have not lasted so far. It is immutable.
type Orphans struct {
	since    map[string]time.Duration
	attempts map[string]attempts // by duty
}

// Attempt describes a takeover that has ended.
type Attempt struct {
	Duty  string
	Known cluster.Owner // record in the directory from which the takeover started, zero if there was none
	Stale bool          // it failed before it wrote anything, because the store had a newer epoch than Known
}

// attempts describes the takeovers of a duty since the last one that lasted.
type attempts struct {
	last  Attempt
	at    time.Duration // end of the last one
	count int
}

// WithAttempt returns a copy that records a takeover that has ended.
func (o Orphans) WithAttempt(a Attempt, now time.Duration) Orphans {
	count := o.attempts[a.Duty].count + 1
	o.attempts = maps.Clone(o.attempts)
	if o.attempts == nil {
		o.attempts = map[string]attempts{}
	}
	o.attempts[a.Duty] = attempts{last: a, at: now, count: count}
	return o
}

// Input holds the facts that a decision depends on. Times are on the boot clock.
type Input struct {
	Now         time.Duration
	Self        cluster.Member
	MemberSince time.Duration // when this daemon became a member
	StoreLost   bool
	StoreBackAt time.Duration   // end of the last store outage, 0 if there was none
	Held        map[string]bool // duties that this daemon owns or is taking over
	TakingOver  map[string]bool // those of them that it is taking over
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
// answer to its write was lost. A duty whose takeover failed or did not last is
// claimed again after a delay.
func Decide(o Orphans, in Input) (Orphans, []string) {
	orphans := map[string]time.Duration{}
	if !in.Directory.Listed || in.StoreLost || in.Now-in.MemberSince < StartupDelay {
		return Orphans{since: orphans, attempts: o.attempts}, nil
	}
	load := map[string]int{}
	tried := o.relevantAttempts(in)
	var orphaned, unheld []string
	for _, duty := range Duties(in.Directory) {
		owner, ok := in.Directory.LiveOwner(duty)
		if ok && !in.Directory.Members[owner.Name].Leaving {
			load[owner.Name]++
			if owner.Name == in.Self.Name && !in.Held[duty] && !tried[duty].delay(in, 0) {
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
		if position >= 0 && in.Now >= from+time.Duration(position)*CandidateDelay && !tried[duty].delay(in, position) {
			claims = append(claims, duty)
		}
	}
	return Orphans{since: orphans, attempts: tried}, claims
}

// relevantAttempts returns the takeovers without those that have lasted and those of duties that another daemon owns or
// that no longer exist.
func (o Orphans) relevantAttempts(in Input) map[string]attempts {
	relevant := maps.Clone(o.attempts)
	duties := Duties(in.Directory)
	maps.DeleteFunc(relevant, func(duty string, a attempts) bool {
		owner, ok := in.Directory.LiveOwner(duty)
		owned := ok && owner.Name != in.Self.Name && !in.Directory.Members[owner.Name].Leaving
		lasted := in.Held[duty] && !in.TakingOver[duty] && in.Now >= a.at+MinTenure
		return owned || lasted || !slices.Contains(duties, duty)
	})
	return relevant
}

// delay reports whether the takeovers of a duty delay the next one. Later candidates wait longer, so that the attempts of
// all daemons grow with the logarithm of their number while the store refuses all of them.
func (a attempts) delay(in Input, position int) bool {
	if a.count == 0 || a.outdated(in) {
		return false
	}
	return in.Now < a.at+time.Duration(position+1)*a.retryDelay(in.Self.Name)
}

// outdated reports whether the directory has changed in a way that may let the next takeover succeed: it shows another
// record than the one from which the last takeover started. A record that this takeover may have written itself does
// not count, because each failure after that write would cause the next attempt at once.
func (a attempts) outdated(in Input) bool {
	current := in.Directory.Owners[a.last.Duty]
	own := current.Name == in.Self.Name && current.Start == in.Self.Start
	return current != a.last.Known && (a.last.Stale || !own)
}

// retryDelay returns the delay after the last takeover. It is between half and all of the doubled delay, different for
// each duty and daemon, so that daemons that the store has refused at the same time do not return at the same time.
func (a attempts) retryDelay(name string) time.Duration {
	longest := MinRetryDelay
	for n := 1; n < a.count && longest < MaxRetryDelay; n++ {
		longest = min(2*longest, MaxRetryDelay)
	}
	half := longest / 2
	return half + time.Duration(tieBreak(a.last.Duty, name+"\x00"+strconv.Itoa(a.count))%uint64(half))
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

// tieBreak returns a hash that orders members of equal power and load, differently for each duty.
func tieBreak(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}

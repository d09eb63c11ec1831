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

// Delays before a failed takeover is repeated by the first candidate. Each failure in a row doubles the delay.
const (
	// MinRetryDelay is short, because callers get 503 while a pool has no owner.
	MinRetryDelay = 100 * time.Millisecond
	// MaxRetryDelay keeps a daemon whose claims of 96 duties are all refused at fewer than 100 reads of the store a
	// second, 5% of what the store serves to all daemons.
	MaxRetryDelay = 2 * time.Second
)

// Orphans holds the duties without a live owner and the time at which each was first seen without one, and this
// daemon's failed takeovers. It is immutable.
type Orphans struct {
	since    map[string]time.Duration
	failures map[string]failures // by duty
}

// Failure describes a takeover that failed.
type Failure struct {
	Duty  string
	Known cluster.Owner // record in the directory from which the takeover started, zero if there was none
	Stale bool          // the store had a newer epoch than Known; the takeover wrote nothing
}

// failures describes the failed takeovers of a duty since the last success.
type failures struct {
	last  Failure
	at    time.Duration // of the last one
	count int
}

// WithFailure returns a copy that records a failed takeover.
func (o Orphans) WithFailure(f Failure, now time.Duration) Orphans {
	count := o.failures[f.Duty].count + 1
	o.failures = maps.Clone(o.failures)
	if o.failures == nil {
		o.failures = map[string]failures{}
	}
	o.failures[f.Duty] = failures{last: f, at: now, count: count}
	return o
}

// WithSuccess returns a copy that records a successful takeover.
func (o Orphans) WithSuccess(duty string) Orphans {
	o.failures = maps.Clone(o.failures)
	delete(o.failures, duty)
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
// answer to its write was lost. A duty whose takeover failed is claimed again after a delay.
func Decide(o Orphans, in Input) (Orphans, []string) {
	orphans := map[string]time.Duration{}
	if !in.Directory.Listed || in.StoreLost || in.Now-in.MemberSince < StartupDelay {
		return Orphans{since: orphans, failures: o.failures}, nil
	}
	load := map[string]int{}
	failed := o.relevantFailures(in.Self, in.Directory)
	var orphaned, unheld []string
	for _, duty := range Duties(in.Directory) {
		owner, ok := in.Directory.LiveOwner(duty)
		if ok && !in.Directory.Members[owner.Name].Leaving {
			load[owner.Name]++
			if owner.Name == in.Self.Name && !in.Held[duty] && !failed[duty].delays(in, 0) {
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
		if position >= 0 && in.Now >= from+time.Duration(position)*CandidateDelay && !failed[duty].delays(in, position) {
			claims = append(claims, duty)
		}
	}
	return Orphans{since: orphans, failures: failed}, claims
}

// relevantFailures returns the failed takeovers without those of duties that another daemon owns or that no longer exist.
func (o Orphans) relevantFailures(self cluster.Member, d cluster.Directory) map[string]failures {
	relevant := maps.Clone(o.failures)
	duties := Duties(d)
	maps.DeleteFunc(relevant, func(duty string, _ failures) bool {
		owner, ok := d.LiveOwner(duty)
		owned := ok && owner.Name != self.Name && !d.Members[owner.Name].Leaving
		return owned || !slices.Contains(duties, duty)
	})
	return relevant
}

// delays reports whether the failed takeovers of a duty delay the next one. Later candidates wait longer, so that the
// attempts of all daemons grow with the logarithm of their number while the store refuses all of them.
func (f failures) delays(in Input, position int) bool {
	if f.count == 0 || f.outdated(in) {
		return false
	}
	return in.Now < f.at+time.Duration(position+1)*f.delay(in.Self.Name)
}

// outdated reports whether the directory has changed in a way that may let the next takeover succeed: it shows another
// record than the one from which the last takeover started. A record that this takeover may have written itself does
// not count, because each failure after that write would cause the next attempt at once.
func (f failures) outdated(in Input) bool {
	current := in.Directory.Owners[f.last.Duty]
	own := current.Name == in.Self.Name && current.Start == in.Self.Start
	return current != f.last.Known && (f.last.Stale || !own)
}

// delay returns the delay after the last failure. It is between half and all of the doubled delay, different for each
// duty and daemon, so that daemons that the store has refused at the same time do not return at the same time.
func (f failures) delay(name string) time.Duration {
	longest := MinRetryDelay
	for n := 1; n < f.count && longest < MaxRetryDelay; n++ {
		longest = min(2*longest, MaxRetryDelay)
	}
	half := longest / 2
	return half + time.Duration(tieBreak(f.last.Duty, name+"\x00"+strconv.Itoa(f.count))%uint64(half))
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

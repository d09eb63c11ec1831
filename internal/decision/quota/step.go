package quota

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"
)

// PollInterval is the time between two calls to the owner of a pool.
const PollInterval = 250 * time.Millisecond

// Limits of the lender. A transfer between two pools takes two writes, which may follow each other immediately.
const (
	writeWindow    = time.Second // in which at most two writes begin
	reportValidity = time.Second // for which the use in a report is counted on; four polls
	configDelay    = 3 * time.Second
	abandonedAfter = time.Minute            // after which a former pool without an owner runs nothing; ten times the longest lease
	confirmTime    = 200 * time.Millisecond // in which owners confirm limits, after which the next write does not wait for them
	decideInterval = 25 * time.Millisecond  // least time between two divisions that reports cause, since all pools report at the same time
	decideCost     = 20 * time.Microsecond  // the same for each share, so that divisions take a small part of a processor on large sites
	turn           = 10 * time.Second       // for which the same pools go first if not all can start a task
	versionBits    = 24                     // of a version for the count, below those of the epoch
	fixedOps       = 3                      // of a transaction: two conditions of the fence and its write
	gainDivisor    = 64                     // a write is justified if a pool gains the maximum divided by this
)

// Step returns the state after a message and the effects to carry out.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Tick:
		return onTick(s, m)
	case Reported:
		return onReported(s, m)
	case WriteResult:
		return onWriteResult(s, m)
	default:
		panic(fmt.Sprintf("quota: message %T is not handled", m))
	}
}

func onTick(s State, m Tick) (State, []Effect) {
	s.now = max(s.now, m.Now)
	if m.Config == nil {
		return s, nil
	}
	s = s.withSite(m)
	if !s.hasQuotas() {
		return s, nil
	}
	effects := s.calls(slices.Sorted(maps.Keys(s.pools)))
	s, write := s.decide()
	return s, append(effects, write...)
}

func onReported(s State, m Reported) (State, []Effect) {
	s.now = max(s.now, m.Now)
	before := s
	s = s.withReport(m)
	if s.config == nil || !s.hasQuotas() {
		return s, nil
	}
	first := s.completesReports(before, m.Pool)
	// A transfer goes on as soon as the last of the pools has confirmed its lower limit.
	confirmed := s.unheard[m.Pool] && len(s.unheard) == 1 && s.hasConfirmed(m.Pool)
	if s.unheard[m.Pool] && s.hasConfirmed(m.Pool) {
		s.unheard = maps.Clone(s.unheard)
		delete(s.unheard, m.Pool)
	}
	if !confirmed && !first && (s.now-s.decidedAt < s.decideInterval() || !s.lacks(m)) {
		return s, nil
	}
	return s.decide()
}

// completesReports reports whether the report of a pool was the last one that the first record of an account has waited for.
func (s State) completesReports(before State, pool string) bool {
	for name, a := range s.accounts {
		if a.record.Version != 0 || a.removed || !before.accounts[name].shares[pool].unseen || a.shares[pool].unseen {
			continue
		}
		complete := true
		for other, x := range a.shares {
			complete = complete && !s.mustReport(s.pools[other], x)
		}
		if complete {
			return true
		}
	}
	return false
}

// hasConfirmed reports whether the owner of a pool applies all lowered limits.
func (s State) hasConfirmed(pool string) bool {
	p := s.pools[pool]
	for name, a := range s.accounts {
		if x := a.shares[pool]; x.lowered > p.inForce[name] {
			return false
		}
	}
	return true
}

// decideInterval returns the least time between two divisions that reports cause.
func (s State) decideInterval() time.Duration {
	return max(decideInterval, time.Duration(len(s.accounts)*len(s.pools))*decideCost)
}

// lacks reports whether an account in a report could use more than the limit of the pool.
func (s State) lacks(m Reported) bool {
	for name, u := range m.Report.Accounts {
		a := s.accounts[name]
		x, ok := a.shares[m.Pool]
		demand := amountsOf(u.Used).plus(amountsOf(u.Wanted))
		for r := range demand {
			if ok && a.maximum[r] > 0 && demand[r] > x.limit[r] {
				return true
			}
		}
	}
	return false
}

func onWriteResult(s State, m WriteResult) (State, []Effect) {
	s.now = max(s.now, m.Now)
	if s.pending == nil {
		return s, nil
	}
	written, reasons := *s.pending, s.reasons
	if m.Err != nil {
		var changed *OwnersChangedError
		if errors.As(m.Err, &changed) {
			for _, name := range changed.Pools {
				p := s.pools[name]
				p.conflict = written.Owners[name]
				s = s.withPool(name, p)
			}
		}
		s.pending, s.reasons = nil, nil
		return s, []Effect{Note{Level: slog.LevelInfo, Event: "quota.unwritten", Attrs: []any{"number", written.Number, "error", m.Err}}}
	}
	changed := s.changedPools(written)
	s = s.withWritten()
	s.heardBy = s.now + confirmTime
	s.pending, s.reasons = nil, nil
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(written.Records)) {
		effects = append(effects, Note{Level: slog.LevelInfo, Event: "quota.divided", Attrs: []any{
			"account", name, "version", written.Records[name].Version, "reason", reasons[name],
		}})
	}
	for _, name := range written.Deletes {
		effects = append(effects, Note{Level: slog.LevelInfo, Event: "quota.deleted", Attrs: []any{"account", name}})
	}
	return s, append(effects, s.calls(changed)...)
}

// changedPools returns the pools whose limits a write changes, also from unknown ones. They are told at once, the others by
// the next Tick.
func (s State) changedPools(w Write) []string {
	changed := map[string]bool{}
	for name, r := range w.Records {
		for pool, y := range r.Pools {
			a := s.accounts[name]
			x := a.shares[pool]
			changed[pool] = changed[pool] || x.lowered > a.record.Version || x.limit != amountsOf(y.Limit)
		}
	}
	maps.DeleteFunc(changed, func(_ string, isChanged bool) bool { return !isChanged })
	return slices.Sorted(maps.Keys(changed))
}

// calls returns a call to each of the pools that has an owner.
func (s State) calls(pools []string) []Effect {
	var effects []Effect
	for _, name := range pools {
		p := s.pools[name]
		if !p.owner.Live {
			continue
		}
		limits := map[string]quota.Limit{}
		for account, a := range s.accounts {
			if l, ok := a.record.For(name); ok && p.inForce[account] < l.Version {
				limits[account] = l
			}
		}
		effects = append(effects, Call{Pool: name, Limits: limits})
	}
	return effects
}

// decide returns a write if a new division is justified and a write is allowed.
func (s State) decide() (State, []Effect) {
	before := s
	if s.pending != nil || s.now-s.written[0] < writeWindow || len(s.unheard) > 0 && s.now < s.heardBy {
		return s, nil
	}
	s.decidedAt = s.now
	names := slices.Sorted(maps.Keys(s.accounts))
	if i, found := slices.BinarySearch(names, s.cursor); len(names) > 0 {
		if found {
			i++
		}
		names = slices.Concat(names[i:], names[:i]) // so that each account has its turn
	}
	w := Write{Number: s.count + 1, Records: map[string]quota.Record{}, Owners: map[string]int64{}}
	reasons := map[string]string{}
	raises := false
	ops := port.MaxTxnOps - fixedOps
	for _, name := range names {
		a := s.accounts[name]
		if ops == 0 {
			break
		}
		if s.isDeletable(name, a) {
			w.Deletes = append(w.Deletes, name)
			s.cursor = name
			ops--
			continue
		}
		p, ok := s.proposeWithin(name, a, w.Owners, ops-1)
		if !ok {
			continue
		}
		ops--
		for _, pool := range p.reduced {
			if _, ok := w.Owners[pool]; !ok {
				w.Owners[pool] = s.pools[pool].owner.Revision
				ops--
			}
		}
		var version uint64
		s, version = s.nextVersion()
		w.Records[name], reasons[name] = p.record(a, version), p.reason
		s.cursor = name
		raises = raises || p.raises
	}
	if !raises && s.now-s.written[1] < writeWindow {
		// The second write within the window is kept for what the first has freed.
		before.decidedAt = s.now
		return before, nil
	}
	if len(w.Records)+len(w.Deletes) == 0 {
		return s, nil
	}
	s.count++
	w.Number = s.count
	s.pending, s.reasons, s.pendingView = &w, reasons, s.views
	s.written = [2]time.Duration{s.written[1], s.now}
	return s, []Effect{w}
}

// proposeWithin proposes a division that needs at most a number of conditions more than those that the write has already.
func (s State) proposeWithin(name string, a account, conditions map[string]int64, ops int) (proposal, bool) {
	reducible := func(pool string) bool {
		p := s.pools[pool]
		return p.conflict == 0 || p.conflict != p.owner.Revision
	}
	p, ok := s.propose(name, a, reducible)
	added := 0
	kept := map[string]bool{}
	for _, pool := range p.reduced {
		if _, has := conditions[pool]; has {
			kept[pool] = true
		} else if added < ops {
			kept[pool] = true
			added++
		}
	}
	if !ok || len(kept) == len(p.reduced) {
		return p, ok
	}
	return s.propose(name, a, func(pool string) bool { return kept[pool] })
}

// isDeletable reports whether the record of an account that the configuration lacks has no effect any more: all owners
// that have it apply a limit of zero, and nothing runs.
func (s State) isDeletable(name string, a account) bool {
	if !a.removed || a.record.Version == 0 {
		return false
	}
	for pool, x := range a.shares {
		p := s.pools[pool]
		if !x.limit.isNone() || !s.isGone(p) && (!s.isFresh(p) || p.inForce[name] < x.lowered || !amountsOf(p.use(name).Used).isNone()) {
			return false
		}
	}
	return true
}

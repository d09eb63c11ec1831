package claim_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/claim"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// soleMember returns the input of the only member of a site with the pool "a" alone. Its fleet has an owner.
func soleMember() claim.Input {
	m := cluster.Member{Name: "m1", Start: 1}
	d := cluster.Directory{Config: &site.Config{Version: 1, Pools: []site.Pool{{Name: "a"}}}, Listed: true}
	d = d.WithMember(m).WithOwner(cluster.Owner{Duty: cluster.FleetDuty, Name: "m1", Start: 1, Epoch: 1})
	return claim.Input{Now: 10 * time.Second, Self: m, MemberSince: time.Second, Held: map[string]bool{cluster.FleetDuty: true}, Directory: d}
}

// claimedAfter returns the time until a duty is claimed, and the state and the input at that time.
func claimedAfter(c *qt.C, o claim.Orphans, in claim.Input) (time.Duration, claim.Orphans, claim.Input) {
	const step, limit = time.Millisecond, time.Minute
	for waited := time.Duration(0); waited < limit; waited += step {
		var duties []string
		if o, duties = claim.Decide(o, in); len(duties) > 0 {
			return waited, o, in
		}
		in.Now += step
	}
	c.Fatalf("no claim within %v", limit)
	return 0, o, in
}

// Guards against a takeover that is repeated without a pause while it is refused, and against one that is given up or
// delayed for longer than it must: the first attempt, and the next one after a success that has lasted.
func TestFailedTakeoverIsRepeatedWithGrowingDelay(t *testing.T) {
	orphaned, unheld, leaving := soleMember(), soleMember(), soleMember()
	unheld.Directory = unheld.Directory.WithOwner(cluster.Owner{Duty: "a", Name: "m1", Start: 1, Epoch: 1})
	leaving.Directory = leaving.Directory.WithMember(cluster.Member{Name: "m2", Start: 1, Leaving: true}).
		WithOwner(cluster.Owner{Duty: "a", Name: "m2", Start: 1, Epoch: 1})
	for name, in := range map[string]claim.Input{"orphaned": orphaned, "record names the daemon": unheld, "owner leaves": leaving} {
		for _, stale := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stale %v", name, stale), func(t *testing.T) {
				c := qt.New(t)
				waited, o, in := claimedAfter(c, claim.Orphans{}, in)
				c.Assert(waited, qt.Equals, time.Duration(0))
				failure := claim.Attempt{Duty: "a", Known: in.Directory.Owners["a"], Stale: stale}
				longest := claim.MinRetryDelay
				for range 8 {
					o = o.WithAttempt(failure, in.Now)
					waited, o, in = claimedAfter(c, o, in)
					c.Check(waited >= longest/2 && waited <= longest, qt.IsTrue, qt.Commentf("%v instead of %v to %v", waited, longest/2, longest))
					longest = min(2*longest, claim.MaxRetryDelay)
					takingOver := in
					takingOver.Held, takingOver.TakingOver = map[string]bool{cluster.FleetDuty: true, "a": true}, map[string]bool{"a": true}
					o, _ = claim.Decide(o, takingOver) // must not forget the failures
				}
				held := in
				held.Held = map[string]bool{cluster.FleetDuty: true, "a": true}
				held.Directory = held.Directory.WithOwner(cluster.Owner{Duty: "a", Name: "m1", Start: 1, Epoch: 2})
				held.Now += claim.MinTenure
				o, _ = claim.Decide(o.WithAttempt(failure, in.Now), held)
				held.Held = in.Held
				waited, o, in = claimedAfter(c, o, held)
				c.Check(waited, qt.Equals, time.Duration(0))
				waited, _, _ = claimedAfter(c, o.WithAttempt(failure, in.Now), in)
				c.Check(waited <= claim.MinRetryDelay, qt.IsTrue, qt.Commentf("%v", waited))
			})
		}
	}
}

// Guards against later candidates whose attempts add up while the store refuses all daemons.
func TestLaterCandidateWaitsLonger(t *testing.T) {
	c := qt.New(t)
	in := soleMember()
	in.Directory = in.Directory.WithMember(cluster.Member{Name: "m2", Start: 1, Power: 800}) // the first candidate
	_, o, in := claimedAfter(c, claim.Orphans{}, in)
	for n := range 8 {
		var waited time.Duration
		waited, o, in = claimedAfter(c, o.WithAttempt(claim.Attempt{Duty: "a"}, in.Now), in)
		longest := 2 * min(claim.MinRetryDelay<<n, claim.MaxRetryDelay)
		c.Check(waited >= longest/2 && waited <= longest, qt.IsTrue, qt.Commentf("%v instead of %v to %v", waited, longest/2, longest))
	}
}

// Guards against a legitimate takeover that waits although its directory has caught up with the store, against attempts
// without a pause by a daemon whose takeovers fail after they have written a record, and against attempts without a pause
// while the connection to the store breaks again and again.
func TestDelayEndsWithOtherRecord(t *testing.T) {
	c := qt.New(t)
	gone := cluster.Owner{Duty: "a", Name: "gone", Start: 1, Epoch: 1}
	self := cluster.Owner{Duty: "a", Name: "m1", Start: 1, Epoch: 2}
	before := soleMember()
	before.Directory = before.Directory.WithOwner(gone)
	for name, test := range map[string]struct {
		stale   bool
		change  func(*claim.Input)
		delayed bool
	}{
		"stale, same record":           {true, func(*claim.Input) {}, true},
		"stale, record of another":     {true, func(in *claim.Input) { gone.Epoch = 2; in.Directory = in.Directory.WithOwner(gone) }, false},
		"stale, record of itself":      {true, func(in *claim.Input) { in.Directory = in.Directory.WithOwner(self) }, false},
		"failed, record of another":    {false, func(in *claim.Input) { gone.Epoch = 2; in.Directory = in.Directory.WithOwner(gone) }, false},
		"failed, record of itself":     {false, func(in *claim.Input) { in.Directory = in.Directory.WithOwner(self) }, true},
		"failed, store lost meanwhile": {false, func(in *claim.Input) { in.StoreBackAt = in.Now - claim.RejoinDelay }, true},
	} {
		o, _ := claim.Decide(claim.Orphans{}, before)
		in := before
		for range 5 {
			o = o.WithAttempt(claim.Attempt{Duty: "a", Known: before.Directory.Owners["a"], Stale: test.stale}, in.Now)
		}
		lost := in
		lost.StoreLost = true
		o, _ = claim.Decide(o, lost)
		test.change(&in)
		waited, _, _ := claimedAfter(c, o, in)
		c.Check(waited > 0, qt.Equals, test.delayed, qt.Commentf("%s: %v", name, waited))
	}
}

// Guards against failures that delay a takeover after the duty has had another owner.
func TestOwnerEndsDelay(t *testing.T) {
	c := qt.New(t)
	in := soleMember()
	o := claim.Orphans{}
	for range 5 {
		o = o.WithAttempt(claim.Attempt{Duty: "a"}, in.Now)
	}
	owned := in
	owned.Directory = in.Directory.WithMember(cluster.Member{Name: "m2", Start: 1}).WithOwner(cluster.Owner{Duty: "a", Name: "m2", Start: 1, Epoch: 1})
	o, duties := claim.Decide(o, owned)
	c.Assert(duties, qt.HasLen, 0)
	owned.Directory = owned.Directory.WithoutMember("m2")
	waited, o, in := claimedAfter(c, o, owned)
	c.Assert(waited, qt.Equals, time.Duration(0))
	waited, _, _ = claimedAfter(c, o.WithAttempt(claim.Attempt{Duty: "a", Known: in.Directory.Owners["a"]}, in.Now), in)
	c.Assert(waited <= claim.MinRetryDelay, qt.IsTrue, qt.Commentf("%v", waited))
}

// Guards against takeovers that are refused at the same time and repeated at the same time, by one daemon or by several.
func TestDelaysDifferByDutyAndDaemon(t *testing.T) {
	c := qt.New(t)
	const n, failures = 32, 5
	byDuty, byDaemon := map[time.Duration]bool{}, map[time.Duration]bool{}
	for i := range n {
		for _, x := range []struct {
			duty, member string
			delays       map[time.Duration]bool
		}{{fmt.Sprintf("p%d", i), "m1", byDuty}, {"a", fmt.Sprintf("m%d", i), byDaemon}} {
			in := soleMember()
			in.Self = cluster.Member{Name: x.member, Start: 1}
			in.Directory = cluster.Directory{Config: &site.Config{Pools: []site.Pool{{Name: x.duty}}}, Listed: true}.WithMember(in.Self).
				WithOwner(cluster.Owner{Duty: cluster.FleetDuty, Name: x.member, Start: 1, Epoch: 1})
			o := claim.Orphans{}
			for range failures {
				o = o.WithAttempt(claim.Attempt{Duty: x.duty}, in.Now)
			}
			waited, _, _ := claimedAfter(c, o, in)
			x.delays[waited] = true
		}
	}
	c.Check(len(byDuty) > n/2, qt.IsTrue, qt.Commentf("%d delays of %d duties", len(byDuty), n))
	c.Check(len(byDaemon) > n/2, qt.IsTrue, qt.Commentf("%d delays of %d daemons", len(byDaemon), n))
}

// Guards against daemons that use up the reads of an overloaded store, which refuses all of them.
func TestRefusedDaemonsLeaveReadsToOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const (
		daemons, pools   = 16, 95
		interval         = 200 * time.Millisecond // between two decisions of a daemon
		period, last     = 16 * time.Second, 5 * time.Second
		maxReads         = 500 // a second, a quarter of what the store serves
		maxIntervalReads = 2 * maxReads * int(interval) / int(time.Second)
	)
	d := cluster.Directory{Listed: true}
	config := &site.Config{Version: 1}
	for i := range pools {
		config.Pools = append(config.Pools, site.Pool{Name: fmt.Sprintf("p%d", i)})
	}
	d = d.WithConfig(config)
	var members []cluster.Member
	for i := range daemons {
		members = append(members, cluster.Member{Name: fmt.Sprintf("m%d", i), Power: 400, Start: 1})
		d = d.WithMember(members[i])
	}
	states := make([]claim.Orphans, daemons)
	total := 0
	for now := time.Minute; now < time.Minute+period; now += interval {
		reads := 0
		for i, m := range members {
			at := now + time.Duration(i)*interval/daemons
			o, duties := claim.Decide(states[i], claim.Input{Now: at, Self: m, MemberSince: time.Second, Directory: d})
			for _, duty := range duties {
				o = o.WithAttempt(claim.Attempt{Duty: duty}, at)
			}
			states[i] = o
			reads += len(duties)
		}
		if now >= time.Minute+period-last {
			total += reads
			c.Check(reads <= maxIntervalReads, qt.IsTrue, qt.Commentf("%d reads within %v", reads, interval))
		}
	}
	perSecond := total / int(last/time.Second)
	c.Check(perSecond <= maxReads, qt.IsTrue, qt.Commentf("%d reads a second", perSecond))
	c.Check(perSecond >= pools/3, qt.IsTrue, qt.Commentf("%d reads a second", perSecond)) // each duty is tried at least every 3 s
	c.Logf("%d reads a second", perSecond)
}

// Guards against a daemon that takes a duty over without a pause while it must step down each time, and against a delay
// that ends because a later takeover takes long.
func TestDelayGrowsWhileTakeoversDoNotLast(t *testing.T) {
	c := qt.New(t)
	in := soleMember()
	o := claim.Orphans{}
	longest := claim.MinRetryDelay
	for epoch := range uint64(8) {
		o = o.WithAttempt(claim.Attempt{Duty: "a", Known: in.Directory.Owners["a"]}, in.Now)
		in.Directory = in.Directory.WithOwner(cluster.Owner{Duty: "a", Name: "m1", Start: 1, Epoch: epoch + 1})
		held := in
		held.Held = map[string]bool{cluster.FleetDuty: true, "a": true}
		held.Now += claim.MinRetryDelay / 4
		o, _ = claim.Decide(o, held)
		var waited time.Duration
		waited, o, in = claimedAfter(c, o, in)
		c.Check(waited >= longest/2 && waited <= longest, qt.IsTrue, qt.Commentf("%v instead of %v to %v", waited, longest/2, longest))
		longest = min(2*longest, claim.MaxRetryDelay)
		takingOver := in
		takingOver.Held, takingOver.TakingOver = map[string]bool{cluster.FleetDuty: true, "a": true}, map[string]bool{"a": true}
		takingOver.Now += claim.MinTenure
		o, _ = claim.Decide(o, takingOver)
	}
}

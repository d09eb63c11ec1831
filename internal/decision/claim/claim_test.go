package claim_test

import (
	"testing"
	"time"

	"teaselloft/internal/decision/claim"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

func directory(members ...cluster.Member) cluster.Directory {
	d := cluster.Directory{
		Config: &site.Config{Version: 1, Pools: []site.Pool{{Name: "a"}, {Name: "b"}, {Name: "spare", Standby: true}}},
		Listed: true,
	}
	for _, m := range members {
		d = d.WithMember(m)
	}
	return d
}

// claimsByMember returns the duties that each member claims at now; change may adjust each input.
func claimsByMember(d cluster.Directory, now time.Duration, change func(*claim.Input)) map[string][]string {
	out := map[string][]string{}
	for name, m := range d.Members {
		in := claim.Input{Now: now, Self: m, MemberSince: time.Second, Directory: d, Held: map[string]bool{}}
		for duty, o := range d.Owners {
			in.Held[duty] = o.Name == name // each member holds what the records say
		}
		if change != nil {
			change(&in)
		}
		if _, duties := claim.Decide(claim.Orphans{}, in); duties != nil {
			out[name] = duties
		}
	}
	return out
}

// Guards against a duty that no member or more than one member claims, and against duties that pile up on one member.
func TestEachDutyHasOneClaimant(t *testing.T) {
	c := qt.New(t)
	d := directory(cluster.Member{Name: "m1", Power: 400}, cluster.Member{Name: "m2", Power: 400}, cluster.Member{Name: "m3", Power: 400})
	seen := map[string]int{}
	for name, duties := range claimsByMember(d, 10*time.Second, nil) {
		c.Check(duties, qt.HasLen, 1, qt.Commentf("%s", name))
		for _, duty := range duties {
			seen[duty]++
		}
	}
	c.Assert(seen, qt.DeepEquals, map[string]int{cluster.FleetDuty: 1, "a": 1, "b": 1})
}

// Guards against a duty that stays unserved: its record names a live member that does not hold it, because the answer
// to the write of the record was lost.
func TestOwnerReclaimsUnheldDuty(t *testing.T) {
	c := qt.New(t)
	m1, m2 := cluster.Member{Name: "m1", Power: 400, Start: 7}, cluster.Member{Name: "m2", Power: 400, Start: 8}
	d := directory(m1, m2).WithOwner(cluster.Owner{Duty: "a", Name: "m1", Start: 7, Epoch: 1}).
		WithOwner(cluster.Owner{Duty: "b", Name: "m2", Start: 8, Epoch: 1}).WithOwner(cluster.Owner{Duty: cluster.FleetDuty, Name: "m2", Start: 8, Epoch: 1})
	held := func(in *claim.Input) { in.Held = map[string]bool{"b": true, cluster.FleetDuty: true} }
	c.Assert(claimsByMember(d, 10*time.Second, held), qt.DeepEquals, map[string][]string{"m1": {"a"}})
	held = func(in *claim.Input) { in.Held = map[string]bool{"a": true, "b": true, cluster.FleetDuty: true} }
	c.Assert(claimsByMember(d, 10*time.Second, held), qt.DeepEquals, map[string][]string{})
}

// Guards against duties on a member whose CPU is too small for them.
func TestMostPowerfulMemberClaims(t *testing.T) {
	c := qt.New(t)
	d := directory(cluster.Member{Name: "weak", Power: 100}, cluster.Member{Name: "strong", Power: 800})
	c.Assert(claimsByMember(d, 10*time.Second, nil), qt.DeepEquals, map[string][]string{"strong": {cluster.FleetDuty, "a", "b"}})
}

// Guards against takeovers by a daemon that has just started, or that cannot tell whether an owner is alive.
func TestNoClaimWhileOwnerIsUncertain(t *testing.T) {
	c := qt.New(t)
	d := directory(cluster.Member{Name: "m1"})
	for name, change := range map[string]func(*claim.Input){
		"just started":    func(in *claim.Input) { in.MemberSince = in.Now - claim.StartupDelay/2 },
		"store lost":      func(in *claim.Input) { in.StoreLost = true },
		"store just back": func(in *claim.Input) { in.StoreBackAt = in.Now - claim.RejoinDelay/2 },
		"nothing listed":  func(in *claim.Input) { in.Directory.Listed = false },
	} {
		c.Check(claimsByMember(d, 10*time.Second, change), qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

// Guards against the replacement of a live owner, and against keeping an owner whose daemon has restarted.
func TestLiveOwnerKeepsDuty(t *testing.T) {
	c := qt.New(t)
	d := directory(cluster.Member{Name: "m1", Start: 1}, cluster.Member{Name: "m2", Start: 1})
	for _, duty := range claim.Duties(d) {
		d = d.WithOwner(cluster.Owner{Duty: duty, Name: "m1", Start: 1, Epoch: 1})
	}
	c.Assert(claimsByMember(d, 10*time.Second, nil), qt.HasLen, 0)
	d = d.WithMember(cluster.Member{Name: "m1", Start: 2})
	c.Assert(len(claimsByMember(d, 10*time.Second, nil)) > 0, qt.IsTrue)
}

// Guards against a duty that stays without an owner because the first candidate does not claim it.
func TestNextCandidateClaimsAfterDelay(t *testing.T) {
	c := qt.New(t)
	d := directory(cluster.Member{Name: "m1", Power: 800}, cluster.Member{Name: "m2", Power: 100})
	in := claim.Input{Now: 10 * time.Second, Self: d.Members["m2"], MemberSince: time.Second, Directory: d}
	orphans, duties := claim.Decide(claim.Orphans{}, in)
	c.Assert(duties, qt.HasLen, 0)
	in.Now += claim.CandidateDelay
	_, duties = claim.Decide(orphans, in)
	c.Assert(duties, qt.DeepEquals, []string{cluster.FleetDuty, "a", "b"})
}

package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/decision/capacity"
	"teaselloft/internal/model/fleet"

	qt "github.com/frankban/quicktest"
)

var (
	start  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	sample = fleet.Fleet{
		Spare: "backoffice",
		Services: []fleet.Service{
			{Name: "rakes", Fleet: "north", Pool: "rakes", Slots: 8, Budget: fleet.Budget{Available: 3, Domain: fleet.DomainZone}},
			{Name: "archive", Fleet: "south", Pool: "archive", Slots: 8, Budget: fleet.Budget{Available: 3, Domain: fleet.DomainZone}},
		},
	}
)

func members(pool string, n int) []capacity.Member {
	var list []capacity.Member
	for i := range n {
		list = append(list, capacity.Member{
			ID:    fmt.Sprintf("%s-%02d", pool, i),
			Place: fleet.Place{Zone: string(rune('a' + i%4)), Rack: fmt.Sprint(i)},
		})
	}
	return list
}

// site simulates pools whose instances move at once.
type site struct {
	state capacity.State
	pools map[string][]capacity.Member
	now   time.Time
	moves []transfer
}

type transfer struct{ from, to string }

func newSite(rakes, archive, spare int) *site {
	return &site{state: capacity.New(capacity.Defaults()), now: start, pools: map[string][]capacity.Member{
		"rakes": members("rakes", rakes), "archive": members("archive", archive), "backoffice": members("spare", spare),
	}}
}

// run samples the demand of both services every ten seconds and decides every minute.
func (s *site) run(minutes int, demand func(second int) float64) {
	for second := 0; second < minutes*60; second += 10 {
		s.now = s.now.Add(10 * time.Second)
		s.state, _ = capacity.Step(s.state, capacity.DemandSampled{
			Now: s.now, Demand: map[string]float64{"rakes": demand(second), "archive": 8},
		})
		if second%60 != 0 {
			continue
		}
		var effects []capacity.Effect
		s.state, effects = capacity.Step(s.state, capacity.PoolsListed{Now: s.now, Fleet: sample, Pools: s.pools})
		for _, e := range effects {
			s.move(e.(capacity.Move))
		}
	}
}

func (s *site) move(m capacity.Move) {
	for pool, list := range s.pools {
		for i, member := range list {
			if member.ID == m.Instance {
				s.moves = append(s.moves, transfer{from: pool, to: m.Pool})
				s.pools[pool] = append(append([]capacity.Member{}, list[:i]...), list[i+1:]...)
				s.pools[m.Pool] = append(s.pools[m.Pool], member)
				return
			}
		}
	}
}

func constant(v float64) func(int) float64 { return func(int) float64 { return v } }

// Guards against moves caused by demand peaks of a few seconds.
func TestShortPeaksMoveNothing(t *testing.T) {
	c := qt.New(t)
	s := newSite(6, 6, 6)
	s.run(120, func(second int) float64 {
		if second%120 < 10 {
			return 100 // five times the mean of its minute
		}
		return 4
	})
	c.Assert(s.moves, qt.HasLen, 0)
}

// Guards against a pool that does not grow with its demand or does not shrink after it.
func TestPoolFollowsDemand(t *testing.T) {
	c := qt.New(t)
	s := newSite(6, 6, 8)
	s.run(9, constant(8*6))
	c.Assert(s.moves, qt.HasLen, 0, qt.Commentf("a shortage has to last 10 minutes"))
	s.run(30, constant(8*6))
	c.Assert(len(s.pools["rakes"]), qt.Equals, capacity.MinPoolSize(6, 4))
	s.run(8*60, constant(4))
	c.Assert(len(s.pools["rakes"]), qt.Equals, capacity.MinPoolSize(3, 4))
	c.Assert(len(s.pools["archive"]), qt.Equals, capacity.MinPoolSize(3, 4))
}

// Guards against a fleet that takes instances from another fleet.
func TestFleetsShareOnlyTheSparePool(t *testing.T) {
	c := qt.New(t)
	s := newSite(6, 9, 0)
	s.run(20, constant(8*20))
	c.Assert(len(s.moves) > 0, qt.IsTrue)
	for _, m := range s.moves {
		c.Assert(m.from == "backoffice" || m.to == "backoffice", qt.IsTrue, qt.Commentf("%+v", m))
	}
	c.Assert(len(s.pools["archive"]) >= capacity.MinPoolSize(3, 4), qt.IsTrue, qt.Commentf("the other fleet keeps its buffer"))
}

// Guards against a pool that is too small to lose a domain while one instance is out, or larger than necessary.
func TestMinPoolSizeCoversDomainLoss(t *testing.T) {
	c := qt.New(t)
	for need := 1; need < 40; need++ {
		for domains := 2; domains < 6; domains++ {
			n := capacity.MinPoolSize(need, domains)
			loss := (n + domains - 1) / domains
			c.Assert(n-1-loss >= need, qt.IsTrue)
			c.Assert(n-2-(n-1+domains-1)/domains < need, qt.IsTrue, qt.Commentf("one instance fewer would do"))
		}
	}
}

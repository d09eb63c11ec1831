package surge

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"teaselloft/internal/core/measure"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Seed makes the arrivals the same on every run.
const Seed = 20261206

// Length is the length of a surge. What ends after it doesn't count.
const Length = 8 * time.Second

// begin is the time at which the callers begin, after the owner has connected to its executors.
const begin = 2 * time.Second

// Result is what came of a surge.
type Result struct {
	Offered    float64 // jobs submitted a second
	InTime     float64 // jobs a second that ended in time
	Late       float64 // jobs a second that ended late
	Refused    int     // attempts that were refused
	Unanswered int     // attempts that got no answer in time
	Busy       float64 // share of the time for which the owner used its processor
}

// Run plays a surge with a number of jobs a second.
func Run(rate float64, seed uint64) Result {
	a := &agenda{now: time.Second}
	p := newPool(a)
	o := &owner{agenda: a, pool: p}
	c := &callers{
		agenda: a, owner: o, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, until: begin + Length,
		tokens: map[uint64]*submission{}, jobs: map[job.ID]*submission{},
	}
	p.owner, o.callers = o, c
	config := &site.Config{
		Version: 1, Pools: []site.Pool{{Name: poolName}},
		Queues: []site.Queue{{Name: "q", Pool: poolName, Attempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond}},
	}
	s := schedule.New(poolName, 1, schedule.DefaultPolicy(6*time.Second), a.now, unix(a.now)).WithConfirmation(a.now)
	s, effects := schedule.Recover(s, config, schedule.Stored{Listed: p.listed})
	o.state = s
	for _, e := range effects {
		o.perform(e)
	}
	o.tick()
	a.run(begin)
	before := o.handling
	c.arrive()
	a.run(begin + Length)
	perSecond := func(n int) float64 { return float64(n) / Length.Seconds() }
	return Result{
		Offered: perSecond(len(c.jobs)), InTime: perSecond(c.inTime), Late: perSecond(c.late), Refused: c.refusals, Unanswered: c.unanswered,
		Busy: (o.handling - before).Seconds() / Length.Seconds(),
	}
}

// Rates are the numbers of jobs a second that are compared. The third one saturates the owner.
var Rates = []float64{60, 90, 120, 180, 240, 360}

// minGoodput is the least share of the best goodput that remains when more jobs are submitted than the owner can start.
const minGoodput = 0.9

func init() {
	measure.Register(measure.Benchmark{
		Name:  "surge",
		Usage: "measure the jobs that end in time while more are submitted than the owner of a pool can start",
		Run: func(context.Context) ([]measure.Result, error) {
			var list []measure.Result
			best, last := 0.0, 0.0
			for _, rate := range Rates {
				r := Run(rate, Seed)
				best, last = max(best, r.InTime), r.InTime
				list = append(list, measure.Result{Name: "surge.intime", Value: r.InTime, Unit: "jobs/s", Baseline: r.Offered, Bound: math.NaN()})
			}
			lost := measure.Result{Name: "surge.lost", Value: 1 - last/best, Unit: "share", Baseline: math.NaN(), Bound: 1 - minGoodput}
			return append(list, lost), nil
		},
	})
}

package surge

import (
	"context"
	"fmt"
	"math"
	"time"

	"teaselloft/internal/core/measure"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Waiting are the numbers of jobs that fit on no executor, for which the time of a scheduling cycle is measured.
var Waiting = []int{10, 1000, 100_000}

const (
	cycles          = 200 // of which the fastest counts
	maxCycleSlowing = 10  // with the most jobs against the fewest; the time must not grow with their number
)

// Cycle returns the processor time of a scheduling cycle while a number of jobs wait that fit on no executor.
func Cycle(waiting int) time.Duration {
	now := time.Second
	x := site.Executor{ID: "x", Address: "x", Pool: poolName, Born: born, Capacity: job.Resources{CPU: executorCPU, Memory: executorCPU}}
	stored := schedule.Stored{Listed: []site.Executor{x}}
	for i := range waiting {
		sub := job.Submission{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "q", Spec: "s", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 2 * executorCPU}}}}
		stored.Jobs = append(stored.Jobs, schedule.StoredJob{ID: sub.ID, Record: job.Record{Submission: &sub}})
	}
	s := schedule.New(poolName, 1, schedule.DefaultPolicy(6*time.Second), now, unixMilli(now)).WithConfirmation(now)
	s, effects := schedule.Recover(s, config(), stored)
	var token uint64
	for _, e := range effects {
		if h, ok := e.(schedule.SendHeartbeat); ok {
			token = h.Heartbeat.FencingToken
		}
	}
	step := func(m schedule.Message) {
		var effects []schedule.Effect
		s, effects = schedule.Step(s, m)
		for _, e := range effects {
			if c, ok := e.(schedule.Commit); ok {
				s, _ = schedule.Step(s, schedule.CommitResult{Now: now, Number: c.Number})
			}
		}
	}
	best := time.Duration(math.MaxInt64)
	for range cycles {
		now += tickInterval
		step(schedule.HeartbeatResult{Executor: x.ID, FencingToken: token, Sent: now, Now: now, Report: port.ExecutorReport{Clock: now.Milliseconds(), Born: born}})
		step(schedule.Tick{Now: now, Unix: unixMilli(now)})
		began := threadTime()
		step(schedule.RunCycle{Now: now})
		best = min(best, threadTime()-began)
	}
	return best
}

func init() {
	measure.Register(measure.Benchmark{
		Name:  "cycle",
		Usage: "measure a scheduling cycle while jobs wait that fit on no executor",
		Run: func(context.Context) ([]measure.Result, error) {
			unlock := lockThread()
			defer unlock()
			var list []measure.Result
			for _, n := range Waiting {
				us := float64(Cycle(n).Nanoseconds()) / 1000
				first := us
				if len(list) > 0 {
					first = list[0].Value
				}
				list = append(list, measure.Result{Name: fmt.Sprintf("cycle.oversized.%d", n), Value: us, Unit: "us", Baseline: first, Bound: maxCycleSlowing * first})
			}
			return list, nil
		},
	})
}

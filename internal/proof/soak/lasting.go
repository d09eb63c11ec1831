package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"teaselloft/internal/standin/site"
)

// killBound is the time from the kill of a daemon within which the tasks of executors that ended meanwhile have runs
// again. Unlike a daemon that stops, one that is killed leaves its successor to wait for the leases that it may have
// extended.
const killBound = 7 * time.Second

// Long-running tasks that each pool runs from the begin on. They need more than one executor. A pool of five that loses
// two has 7200 of 12000 millicores left for the callers' jobs, so that there is always room for these tasks.
const (
	longRunningTasks = 8
	longRunningCPU   = 600
)

// submitLongRunning submits a long-running job to each pool and waits until its tasks run.
func (s *soak) submitLongRunning(ctx context.Context) {
	caller := site.NewCaller(callTimeout)
	defer caller.Close()
	r := rand.New(rand.NewPCG(s.options.Seed, 1<<34))
	for n, pool := range Pools {
		// Callers have numbers from 1 on in the first half of the ID.
		j := site.Job{ID: fmt.Sprintf("%016x", n), Pool: pool, Spec: "1h"}
		j.Steps = []site.Step{{Count: longRunningTasks, CPU: longRunningCPU, Memory: 64, Lasting: true}}
		for !s.submit(ctx, caller, r, j) && ctx.Err() == nil {
			wait(ctx, retryPause) // a pool refuses jobs until it has an owner
		}
	}
	s.awaitLongRunning(ctx)
}

// lasts reports whether a task is long-running.
func (l *Ledger) lasts(task string) bool {
	id, _, step, ok := parseTask(task)
	j := l.jobs[id]
	return ok && j != nil && step < len(j.job.Steps) && j.job.Steps[step].Lasting
}

// idleLongRunning returns the tasks of accepted long-running jobs that should have a run and have none.
func (l *Ledger) idleLongRunning() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	running := map[string]bool{}
	for _, runs := range l.runs {
		for task := range runs {
			running[task] = true
		}
	}
	var idle []string
	for id, x := range l.jobs {
		if x.accepted == 0 || x.cancelRequested || !x.job.Steps[0].Lasting {
			continue
		}
		for index := range x.job.Steps[0].Count {
			task := fmt.Sprintf("%s.0.0.%d", id, index)
			if end, ok := l.lastEnd[task]; !running[task] && (!ok || l.now() > end+restartBound) {
				idle = append(idle, task)
			}
		}
	}
	return idle
}

// hosts returns the executors that run long-running tasks of jobs of a pool, in order.
func (l *Ledger) hosts(pool string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	hosts := map[string]bool{}
	for executor, runs := range l.runs {
		for task := range runs {
			if id, _, _, _ := parseTask(task); l.lasts(task) && l.jobs[id].job.Pool == pool {
				hosts[executor] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(hosts))
}

// killed records that a daemon has been killed.
func (l *Ledger) killed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastKill = l.now()
}

// beginIdle records that a run of a task has ended, if the task is long-running and nobody has canceled it.
func (l *Ledger) beginIdle(task string) {
	if id, _, _, _ := parseTask(task); l.lasts(task) && !l.jobs[id].cancelRequested {
		l.idleSince[task] = l.now()
	}
}

// endIdle checks the time without a run of a task that starts or is about to be canceled.
func (l *Ledger) endIdle(task string) {
	since, ok := l.idleSince[task]
	if !ok {
		return
	}
	delete(l.idleSince, task)
	l.longestIdle = max(l.longestIdle, l.now()-since)
	limit := since + restartBound
	if l.lastKill != 0 {
		limit = max(limit, l.lastKill+killBound)
	}
	if l.boundIdle && l.now() > limit {
		l.note("LOST", "%s lasts and had no run from %v on for %v", task, since.Round(time.Millisecond), (l.now() - since).Round(time.Millisecond))
	}
}

// endIdleOf checks the times without a run of the tasks of a job.
func (l *Ledger) endIdleOf(j site.Job) {
	for step, x := range j.Steps {
		for index := range x.Count {
			l.endIdle(fmt.Sprintf("%s.0.%d.%d", j.ID, step, index))
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"teaselloft/internal/standin/site"
)

// Timeouts and limits of callers.
const (
	callTimeout = 3 * time.Second // the time limit that users specify
	attempts    = 8               // to submit or cancel a job
	retryPause  = 150 * time.Millisecond
)

// runCaller submits jobs, queries their states and cancels some until the context ends.
func (s *soak) runCaller(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(n)))
	caller := site.NewCaller(callTimeout)
	defer caller.Close()
	repeats := rand.New(rand.NewPCG(s.options.Seed, 1<<33+uint64(n)))
	schedules := rand.New(rand.NewPCG(s.options.Seed, 1<<35+uint64(n)))
	var accepted []site.Job
	for serial := 0; ctx.Err() == nil; serial++ {
		j := newJob(r, fmt.Sprintf("%08x%08x", n, serial))
		if s.options.Schedules {
			j = withSchedule(schedules, j)
		}
		if s.submit(ctx, caller, r, j) {
			accepted = append(accepted, j)
			s.follow(ctx, caller, r, j)
		}
		if len(accepted) > 0 && repeats.IntN(2) == 0 {
			recent := accepted[max(0, len(accepted)-5):]
			s.submitOnce(ctx, caller, s.daemonFor(repeats), recent[repeats.IntN(len(recent))])
		}
		wait(ctx, between(r, 50*time.Millisecond, 600*time.Millisecond))
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newJob generates a random job: a chain of steps that succeeds or fails, or a single long-running step.
func newJob(r *rand.Rand, id string) site.Job {
	j := site.Job{ID: id, Pool: Pools[r.IntN(len(Pools))], Spec: between(r, 50*time.Millisecond, 1500*time.Millisecond).String()}
	for n := range 1 + r.IntN(3) {
		step := site.Step{Count: 1 + r.IntN(4), CPU: 200 + r.IntN(1500), Memory: 64}
		if n > 0 {
			step.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	switch r.IntN(12) {
	case 0:
		j.Spec = "fail"
	case 1:
		j.Spec, j.Steps = "1h", []site.Step{{Count: 1 + r.IntN(3), CPU: 300, Memory: 64, Lasting: true}}
		if strings.ContainsAny(id[len(id)-1:], "13579bdf") {
			j.Spec = "1300ms" // its runs end as done
		}
	}
	return j
}

// overdueTimes is the number of times of a schedule that are due at once.
const overdueTimes = 6000

// withSchedule gives a third of the jobs that end a schedule: a few times, or many that are due already.
func withSchedule(r *rand.Rand, j site.Job) site.Job {
	kind := r.IntN(30)
	if kind > 10 || j.Steps[0].Lasting || j.Spec == "fail" {
		return j
	}
	if kind == 0 {
		j.Spec, j.Steps = "50ms", []site.Step{{Count: 1, CPU: 50, Memory: 16}}
		j.Repeat, j.Start, j.Interval = overdueTimes, time.Now().Add(-24*time.Hour), time.Second
		return j
	}
	j.Repeat, j.Interval = 1+r.IntN(5), between(r, 0, 800*time.Millisecond).Truncate(time.Millisecond)
	j.Start = time.Now().Add(between(r, 0, 3*time.Second) - 2*time.Second)
	return j
}

// daemonFor picks a daemon at random, like a load balancer that has not noticed the latest faults.
func (s *soak) daemonFor(r *rand.Rand) *daemon {
	return s.system.daemons[r.IntN(len(s.system.daemons))]
}

// submit retries a submission until its outcome is known or the attempts are used up, and reports whether the job
// was accepted.
func (s *soak) submit(ctx context.Context, c *site.Caller, r *rand.Rand, j site.Job) bool {
	for range attempts {
		status := s.submitOnce(ctx, c, s.daemonFor(r), j)
		if ctx.Err() != nil {
			return false
		}
		switch {
		case status == http.StatusOK:
			return true
		case status == http.StatusServiceUnavailable && r.IntN(2) == 0:
			return false // the refused job must never run, unless an earlier attempt was accepted
		}
		wait(ctx, retryPause)
	}
	return false
}

// submitOnce sends a submission and returns the status of the answer, or 0 if there is none.
func (s *soak) submitOnce(ctx context.Context, c *site.Caller, d *daemon, j site.Job) int {
	s.ledger.Submitting(j)
	sent := s.ledger.now()
	status, err := c.Submit(ctx, d.callerAddress, j)
	if ctx.Err() != nil {
		return 0
	}
	s.checkConnection(d, sent, err)
	if err == nil {
		s.ledger.submitAnswered(j, status)
	}
	return status
}

// checkConnection reports a connection that ended without an answer to the ledger. Timeouts and refused connections
// are ignored.
func (s *soak) checkConnection(d *daemon, sent time.Duration, err error) {
	if err == nil {
		return
	}
	if n, ok := err.(net.Error); ok && n.Timeout() { //nolint:errorlint // the client returns a net.Error as the outermost error
		return
	}
	if isRefused(err) {
		return // nothing was sent
	}
	s.ledger.connectionLost(d.name, sent, err)
}

// follow polls the state of an accepted job a few times. It then cancels long-running jobs and one in eight others.
func (s *soak) follow(ctx context.Context, c *site.Caller, r *rand.Rand, j site.Job) {
	cancels := j.Steps[0].Lasting || r.IntN(8) == 0
	if s.options.TakeoversOnly && j.Steps[0].Lasting {
		return // it lasts until the end of the run
	}
	for range 1 + r.IntN(4) {
		wait(ctx, between(r, 100*time.Millisecond, 1500*time.Millisecond))
		if ctx.Err() != nil || s.queryState(ctx, c, s.daemonFor(r), j) != "" {
			return
		}
	}
	if !cancels {
		return
	}
	s.cancel(ctx, c, r, j)
}

// queryState queries a job's state and returns it if it is final, else an empty string.
func (s *soak) queryState(ctx context.Context, c *site.Caller, d *daemon, j site.Job) string {
	asked := s.ledger.now()
	status, state, err := c.State(ctx, d.callerAddress, j)
	if ctx.Err() != nil {
		return ""
	}
	s.checkConnection(d, asked, err)
	if err != nil {
		return ""
	}
	s.ledger.stateAnswered(j, asked, status, state)
	switch state {
	case "completed", "failed", "cancelled":
		return state
	default:
		return ""
	}
}

// cancel retries a cancellation until the answer is final or the attempts are used up.
func (s *soak) cancel(ctx context.Context, c *site.Caller, r *rand.Rand, j site.Job) {
	s.ledger.Cancelling(j)
	for range attempts {
		d := s.daemonFor(r)
		sent := s.ledger.now()
		status, err := c.Cancel(ctx, d.callerAddress, j)
		if ctx.Err() != nil {
			return
		}
		s.checkConnection(d, sent, err)
		if err == nil {
			s.ledger.cancelAnswered(j, status)
			if status == http.StatusOK || status == http.StatusGone {
				return
			}
		}
		wait(ctx, retryPause)
	}
}

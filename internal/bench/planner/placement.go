package planner

import (
	"math"
	"time"

	"teaselloft/internal/decision/placement"
	"teaselloft/internal/model/message"
)

// The targets for jobs.
const (
	boundLost   = 8
	boundUrgent = 6.7  // seconds
	boundStep   = 50.0 // milliseconds
)

// quarantine counts the jobs that one worker that fails everything costs in a day, with and without quarantine.
func quarantine(r *results, seed uint64) error {
	without := placement.Defaults()
	without.FailureThreshold = math.MaxInt
	without.MaxAttempts = math.MaxInt
	r.bound("placement.lost", float64(lost(seed, placement.Defaults())), "jobs", float64(lost(seed, without)), boundLost)
	return nil
}

func lost(seed uint64, settings placement.Settings) int {
	p := newPlant(20, seed, settings)
	p.bad[p.workers[0].ID] = true
	for second := 0; second < 24*3600; second += 5 {
		p.submit(message.Normal)
		p.renew()
		p.pass(5 * time.Second)
	}
	return p.lost
}

const passEvery = 500 * time.Millisecond

// load drives a plant of the given size at full load for some seconds.
func load(workers, seconds int, seed uint64) *plant {
	p := newPlant(workers, seed, placement.Defaults())
	perPass := float64(workers) / twoYearWorkers
	credit := 0.0
	for n := range workers * 8 { // more than the workers hold
		p.submit(message.Class(1 + n%2))
	}
	for n := range seconds * 2 {
		if n%6 == 0 {
			p.renew()
		}
		for credit += 60 * perPass; credit >= 1; credit-- {
			p.submit(message.Class(1 + p.random.IntN(2)))
		}
		if n > 20 { // after the first jobs have started
			for range max(1, int(5*perPass)) {
				p.submit(message.Urgent)
			}
		}
		p.pass(passEvery)
	}
	return p
}

// urgent measures the start of urgent jobs on full workers at the two-year size, and the placement step.
func urgent(r *results, seed uint64) error {
	p := load(twoYearWorkers, 60, seed)
	r.bound("placement.urgent.p99", quantile(p.waits, 0.99).Seconds(), "s", firstFit(seed).Seconds(), boundUrgent)
	r.figure("placement.urgent.started", float64(len(p.waits)), "jobs")
	r.figure("placement.urgent.waiting", float64(p.urgentWaiting()), "jobs")
	r.figure("placement.queue", float64(p.state.QueueLength()), "jobs")
	r.bound("placement.step.p99", quantile(p.steps, 0.99).Seconds()*1e3, "ms", math.NaN(), boundStep)
	return nil
}

// urgentWaiting counts the urgent jobs that did not start within their bound.
func (p *plant) urgentWaiting() int {
	n := 0
	for id, at := range p.arrived {
		if p.submitted[id].Class == message.Urgent && p.now.Sub(at).Seconds() > boundUrgent {
			n++
		}
	}
	return n
}

// growth measures the placement step from 50 to 5,000 workers and its exponent.
func growth(r *results, seed uint64) error {
	var x, y []float64
	for _, workers := range []int{50, twoYearWorkers, 5000} {
		p := load(workers, 20, seed)
		ms := quantile(p.steps, 0.5).Seconds() * 1e3
		r.figure("placement.step.median."+itoa(workers), ms, "ms")
		r.figure("placement.cancel.each."+itoa(workers), p.cancel(cancelled).Seconds()*1e6/cancelled, "us")
		x = append(x, math.Log(float64(workers)))
		y = append(y, math.Log(ms))
	}
	r.figure("placement.step.exponent", slope(x, y), "log-log")
	return nil
}

// cancelled is the size of the burst of cancellations that is measured.
const cancelled = 200

// cancel measures the cancellation of the last submitted jobs, whatever the length of the queue.
func (p *plant) cancel(n int) time.Duration {
	var ids []string
	for i := p.next - n; i < p.next; i++ {
		ids = append(ids, "j-"+pad(i))
	}
	before := time.Now()
	p.step(placement.Cancel{Now: p.now, Jobs: ids})
	return time.Since(before)
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

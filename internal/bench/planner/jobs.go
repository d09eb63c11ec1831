package planner

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"teaselloft/internal/decision/placement"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
)

// due is a message that a worker sends later.
type due struct {
	at      time.Time
	message placement.Message
}

// agenda orders messages by time.
type agenda []due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is called by container/heap.
func (a *agenda) Push(v any) { *a = append(*a, v.(due)) }

// Pop is called by container/heap.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// plant runs jobs on simulated workers, some of which fail everything.
type plant struct {
	state     placement.State
	random    *rand.Rand
	now       time.Time
	workers   []placement.Worker
	bad       map[string]bool
	later     agenda
	submitted map[string]placement.Job
	arrived   map[string]time.Time
	lost      int             // starts on bad workers
	waits     []time.Duration // of urgent jobs until they run
	steps     []time.Duration // processor time of a placement step
	next      int
}

func newPlant(workers int, seed uint64, settings placement.Settings) *plant {
	p := &plant{
		state: placement.New(settings), random: rand.New(rand.NewPCG(seed, 3)), now: begin,
		bad: map[string]bool{}, submitted: map[string]placement.Job{}, arrived: map[string]time.Time{},
	}
	var teams []fleet.Team
	for n := range twoYearTeams {
		teams = append(teams, fleet.Team{Name: team(n), Quota: fleet.Quota{
			Cores: workers * 16 / 20, Memory: workers * 64 / 20, Accelerators: workers / 10,
		}})
	}
	p.step(placement.ConfigChanged{Teams: teams})
	accelerators := workers * twoYearAccelerators / twoYearWorkers
	for n := range workers {
		size := placement.Size{Cores: 16, Memory: 64}
		if n%4 == 0 { // a quarter of the workers hold the accelerators
			size.Accelerators = accelerators * 4 / workers
		}
		p.workers = append(p.workers, placement.Worker{ID: fmt.Sprintf("w-%04d", n), Size: size})
	}
	p.renew()
	return p
}

func team(n int) string { return fmt.Sprintf("team-%02d", n) }

func (p *plant) renew() {
	for _, w := range p.workers {
		p.step(placement.WorkerHeartbeat{Now: p.now, Worker: w})
	}
}

func (p *plant) step(m placement.Message) {
	var effects []placement.Effect
	p.state, effects = placement.Step(p.state, m)
	for _, e := range effects {
		p.take(e)
	}
}

func (p *plant) after(d time.Duration, m func(at time.Time) placement.Message) {
	at := p.now.Add(d)
	heap.Push(&p.later, due{at: at, message: m(at)})
}

func (p *plant) take(e placement.Effect) {
	switch e := e.(type) {
	case placement.Run:
		p.run(e)
	case placement.Checkpoint:
		p.after(time.Second, func(at time.Time) placement.Message { return placement.JobCheckpointed{Now: at, Job: e.Job} })
	case placement.Stop, placement.Throttle, placement.MarkUnschedulable, placement.Quarantine, placement.Readmit:
	}
}

// startTime is how long a worker takes to start a job or to find that it cannot.
const startTime = time.Second

func (p *plant) run(e placement.Run) {
	if p.bad[e.Worker] {
		p.lost++
		p.after(startTime, func(at time.Time) placement.Message { return placement.StartFailed{Now: at, Job: e.Job} })
		return
	}
	j := p.submitted[e.Job]
	if since, first := p.arrived[e.Job]; first && j.Class == message.Urgent {
		p.waits = append(p.waits, p.now.Add(startTime).Sub(since))
		delete(p.arrived, e.Job)
	}
	p.after(startTime, func(at time.Time) placement.Message { return placement.JobStarted{Now: at, Job: e.Job} })
	length := time.Duration((20 + 40*p.random.ExpFloat64()) * float64(time.Second))
	if j.Class == message.Urgent {
		length = time.Duration((2 + 5*p.random.ExpFloat64()) * float64(time.Second))
	} else if p.random.IntN(100) == 0 {
		length *= 20 // a straggler
	}
	peak := p.peak(j)
	p.after(startTime+length, func(at time.Time) placement.Message {
		return placement.JobFinished{Now: at, Job: e.Job, Peak: peak}
	})
}

// peak returns what a job really uses; declared sizes are wrong by up to ten times in either direction.
func (p *plant) peak(j placement.Job) placement.Size {
	return placement.Size{Cores: min(4, j.Declared.Cores), Memory: min(16, j.Declared.Memory), Accelerators: j.Declared.Accelerators}
}

func (p *plant) submit(class message.Class) {
	wrong := math.Pow(10, 2*p.random.Float64()-1)
	size := placement.Size{Cores: math.Min(16, math.Max(0.5, 2*wrong)), Memory: math.Min(60, math.Max(1, 6*wrong))}
	if p.random.IntN(20) == 0 {
		size.Accelerators = 1
	}
	if p.random.IntN(500) == 0 {
		size.Cores = 100 // a job that can never run
	}
	j := placement.Job{
		ID: fmt.Sprintf("j-%07d", p.next), Team: team(p.next % twoYearTeams),
		Kind: fmt.Sprint("kind-", p.random.IntN(8)), Class: class, Declared: size,
	}
	p.next++
	p.submitted[j.ID] = j
	if size.Cores <= 16 {
		p.arrived[j.ID] = p.now
	}
	p.step(placement.Submit{Now: p.now, Job: j})
}

// pass lets half a second go by and measures the placement step.
func (p *plant) pass(d time.Duration) {
	p.now = p.now.Add(d)
	for len(p.later) > 0 && !p.later[0].at.After(p.now) {
		e, _ := heap.Pop(&p.later).(due)
		p.step(e.message)
	}
	before := time.Now()
	state, effects := placement.Step(p.state, placement.Tick{Now: p.now})
	p.steps = append(p.steps, time.Since(before))
	p.state = state
	for _, e := range effects {
		p.take(e)
	}
}

// quantile returns a quantile of durations; the list is sorted in place.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselloft/internal/model/message"
)

// worker is one executor with what runs on it.
type worker struct {
	target  message.Executor
	running map[*job]bool
	waiting []*job // sent before a slot was free
	sent    int
	down    bool // lost with all that ran on it
	left    bool // drained, until it is ready again
}

// long returns the number of long jobs that run.
func (w *worker) long() int {
	n := 0
	for j := range w.running {
		if j.long() {
			n++
		}
	}
	return n
}

// simulation runs one service of a site in virtual time.
type simulation struct {
	clock
	site     site
	entries  int
	rand     *rand.Rand
	workers  []*worker
	runner   runner
	jobs     uint64
	done     []*job // started ones
	refused  int
	failures int // sends that failed
	over     int // starts on an executor without a free slot
	crossed  int // sends between zones
	frames   int // between entry instances
	bytes    int
	failed   func(j *job, w *worker)
	arrived  func(j *job) // changes a job before it arrives
}

func newSimulation(s site, entries, service int, p Policy, seed uint64) *simulation {
	m := &simulation{site: s, entries: entries, rand: rand.New(rand.NewPCG(seed, uint64(service)))}
	m.now = time.Unix(0, 0)
	for i := range s.executors[service] {
		id := fmt.Sprintf("e%02d", i)
		m.workers = append(m.workers, &worker{
			target:  message.Executor{ID: id, Address: "10.0.0.1:80", Zone: zoneName(i % s.zones)},
			running: map[*job]bool{},
		})
	}
	m.runner = newRunner(p, m)
	return m
}

// load plays arrivals at the given mean load with the peaks of the service.
func (m *simulation) load(service int, load float64, mean time.Duration) {
	rate := load * float64(len(m.workers)*slots) / mean.Seconds()
	offset := time.Duration(service) * period / 5
	m.arrivals(func(t time.Duration) float64 {
		if (t+offset)%period < time.Duration(busy*period.Seconds()*float64(time.Second)) {
			return rate * peak
		}
		return rate * between
	}, rate*peak)
}

// steady plays arrivals at a constant load.
func (m *simulation) steady(load float64) {
	rate := load * float64(len(m.workers)*slots) / meanRun().Seconds()
	m.arrivals(func(time.Duration) float64 { return rate }, rate)
}

// arrivals plays a Poisson process whose rate changes with time, by thinning.
func (m *simulation) arrivals(rate func(time.Duration) float64, most float64) {
	start := m.now
	var next func()
	next = func() {
		t := m.now.Sub(start)
		if t >= length {
			return
		}
		if m.rand.Float64()*most < rate(t) {
			m.jobs++
			j := draw(m.rand, m.site.zones, m.entries, m.jobs, m.now)
			if m.arrived != nil {
				m.arrived(j)
			}
			m.runner.arrive(j)
		}
		m.after(time.Duration(m.rand.ExpFloat64()/most*float64(time.Second)), next)
	}
	next()
}

// delay returns the time that a message takes one way.
func (m *simulation) delay(from, to string) time.Duration {
	if from == to {
		return within
	}
	return m.site.between
}

func (m *simulation) worker(id string) *worker {
	for _, w := range m.workers {
		if w.target.ID == id {
			return w
		}
	}
	return nil
}

// send carries a job to an executor, where it starts or waits.
func (m *simulation) send(j *job, w *worker) {
	w.sent++
	if j.request.Zone != w.target.Zone {
		m.crossed++
	}
	m.after(m.delay(j.request.Zone, w.target.Zone), func() {
		switch {
		case w.down:
			m.failures++
			m.failed(j, w)
		case len(w.running) >= slots:
			m.over++
			j.ahead = float64(w.long()) / slots
			w.waiting = append(w.waiting, j)
		default:
			m.start(j, w)
		}
	})
}

// start runs a job in a free slot.
func (m *simulation) start(j *job, w *worker) {
	j.started = m.now
	m.done = append(m.done, j)
	w.running[j] = true
	m.after(j.held(), func() { m.end(j, w) })
}

func (m *simulation) end(j *job, w *worker) {
	if !w.running[j] {
		return // its executor was lost
	}
	delete(w.running, j)
	for len(w.waiting) > 0 && len(w.running) < slots {
		next := w.waiting[0]
		w.waiting = w.waiting[1:]
		if next.request.Deadline.After(m.now) {
			m.start(next, w)
		} else {
			m.refused++
			m.runner.ended(next, w)
		}
	}
	m.runner.ended(j, w)
}

// lose ends an executor at once; what runs on it fails.
func (m *simulation) lose(w *worker) {
	w.down = true
	for j := range w.running {
		delete(w.running, j)
		m.failures++
		m.failed(j, w)
	}
}

// attempts returns the number of sends.
func (m *simulation) attempts() int {
	n := 0
	for _, w := range m.workers {
		n += w.sent
	}
	return n
}

// longShare returns the share of the used slots that long work holds.
func (m *simulation) longShare() float64 {
	used, long := 0, 0
	for _, w := range m.workers {
		used += len(w.running)
		long += w.long()
	}
	return float64(long) / float64(max(1, used))
}

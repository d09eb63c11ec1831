package planner

import (
	"slices"
	"strconv"
	"time"

	"teaselloft/internal/decision/placement"
	"teaselloft/internal/model/message"
)

func itoa(n int) string { return strconv.Itoa(n) }

// simple is a plant that runs each job on the first worker with room for its declared size, in order of arrival.
type simple struct {
	plant   *plant
	free    []placement.Size
	queue   []placement.Job
	arrived map[string]time.Time
	ends    []end
	waits   []time.Duration
}

// end is the end of a job on a worker.
type end struct {
	at     time.Time
	worker int
	size   placement.Size
}

// firstFit is the p99 start of urgent jobs under the same load as the decision; jobs that never start within
// the run count with the time that they waited.
func firstFit(seed uint64) time.Duration {
	p := newPlant(twoYearWorkers, seed, placement.Defaults())
	s := &simple{plant: p, arrived: map[string]time.Time{}}
	for _, w := range p.workers {
		s.free = append(s.free, w.Size)
	}
	for n := range twoYearWorkers * 8 {
		s.submit(message.Class(1 + n%2))
	}
	for n := range 120 {
		for range 60 {
			s.submit(message.Class(1 + p.random.IntN(2)))
		}
		if n > 20 {
			for range 5 {
				s.submit(message.Urgent)
			}
		}
		p.now = p.now.Add(passEvery)
		s.release()
		for len(s.queue) > 0 && s.place(s.queue[0]) {
			s.queue = s.queue[1:]
		}
	}
	for _, j := range s.queue {
		if j.Class == message.Urgent {
			s.waits = append(s.waits, p.now.Sub(s.arrived[j.ID]))
		}
	}
	return quantile(s.waits, 0.99)
}

func (s *simple) submit(class message.Class) {
	s.plant.submit(class)
	j := s.plant.submitted["j-"+pad(s.plant.next-1)]
	if j.Declared.Cores <= 16 {
		s.queue = append(s.queue, j)
		s.arrived[j.ID] = s.plant.now
	}
}

func (s *simple) release() {
	left := s.ends[:0]
	for _, e := range s.ends {
		if e.at.After(s.plant.now) {
			left = append(left, e)
			continue
		}
		s.free[e.worker] = s.free[e.worker].Plus(e.size)
	}
	s.ends = left
}

// place starts the job if a worker has room, and returns whether one has.
func (s *simple) place(j placement.Job) bool {
	at := slices.IndexFunc(s.free, j.Declared.Fits)
	if at < 0 {
		return false
	}
	s.free[at] = s.free[at].Minus(j.Declared)
	length := time.Duration((20 + 40*s.plant.random.ExpFloat64()) * float64(time.Second))
	s.ends = append(s.ends, end{at: s.plant.now.Add(length), worker: at, size: j.Declared})
	if j.Class == message.Urgent {
		s.waits = append(s.waits, s.plant.now.Add(startTime).Sub(s.arrived[j.ID]))
	}
	return true
}

// pad returns the digits of a job's identifier.
func pad(n int) string {
	text := strconv.Itoa(n)
	for len(text) < 7 {
		text = "0" + text
	}
	return text
}

package schedule

import (
	"cmp"
	"log/slog"
	"strings"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"

	"github.com/benbjohnson/immutable"
)

// State is what the owner of a pool knows. It is immutable.
type State struct {
	Pool      string
	Epoch     uint64
	policy    Policy
	now       time.Duration
	unix      int64
	config    *site.Config
	jobs      *immutable.Map[job.ID, jobState]
	executors *immutable.SortedMap[string, executorState]
	ready     *immutable.SortedMap[rank, place]
	changed   *immutable.SortedMap[uint64, job.ID] // jobs with changes to store, by generation
	timed     *immutable.Map[job.ID, int]          // repeated jobs and the next occurrence that becomes due
	ended     *immutable.Map[job.ID, struct{}]     // jobs whose outcome is kept for a while
	gen       uint64
	commits   uint64
	flight    *flight
	lastWrite time.Duration
	confirmed time.Duration   // when the last write that succeeded was sent: this was the owner then
	unsettled map[string]bool // executors of the former owner that have not answered yet
	settleBy  time.Duration   // when their leases must have lapsed
	swept     time.Duration
	mustPump  bool
}

// flight is a commit that is not answered yet.
type flight struct {
	number  uint64
	sent    time.Duration
	jobs    []flightJob
	stalled bool // an attempt got no answer: callers do not wait for it
}

type flightJob struct {
	id      job.ID
	gen     uint64
	stored  bool // the job itself was stored before
	final   job.State
	cancels []uint64
}

// place names a work.
type place struct {
	job  job.ID
	work int
}

// rank orders the ready works. Under overload, finishing the jobs with the least remaining work first keeps the most of them in time.
type rank struct {
	class     int
	priority  int
	remaining int64 // core-milliseconds that are left of the job; the time of its request for a lasting one
	id        job.ID
	work      int
}

type ranks struct{}

// Compare implements immutable.Comparer.
func (ranks) Compare(a, b rank) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), cmp.Compare(a.remaining, b.remaining),
		strings.Compare(string(a.id), string(b.id)), cmp.Compare(a.work, b.work))
}

// New returns the state of a new owner that knows no job.
func New(pool string, epoch uint64, p Policy, now time.Duration, unix int64) State {
	return State{
		Pool: pool, Epoch: epoch, policy: p, now: now, unix: unix,
		config:    &site.Config{},
		jobs:      immutable.NewMap[job.ID, jobState](nil),
		executors: immutable.NewSortedMap[string, executorState](nil),
		ready:     immutable.NewSortedMap[rank, place](ranks{}),
		changed:   immutable.NewSortedMap[uint64, job.ID](nil),
		timed:     immutable.NewMap[job.ID, int](nil),
		ended:     immutable.NewMap[job.ID, struct{}](nil),
		unsettled: map[string]bool{},
	}
}

func (s State) withJob(j jobState) State {
	s.jobs = s.jobs.Set(j.sub.ID, j)
	return s
}

func (s State) withExecutor(e executorState) State {
	s.executors = s.executors.Set(e.info.ID, e)
	return s
}

// each calls f with every executor in order of ID.
func (s State) each(f func(executorState)) {
	for i := s.executors.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		f(e)
	}
}

// withChange marks a job as to be stored.
func (s State) withChange(j jobState) State {
	if j.dirty == 0 {
		s.gen++
		j.dirty = s.gen
		s.changed = s.changed.Set(s.gen, j.sub.ID)
	}
	return s.withJob(j)
}

// withRank puts a work where it belongs among the ready works, or takes it out.
func (s State) withRank(id job.ID, index int) State {
	j, ok := s.jobs.Get(id)
	if !ok {
		return s
	}
	w := j.works[index]
	var r *rank
	if j.open() && w.waiting > 0 && j.prepared(index) && (!j.recovered || len(s.unsettled) == 0) {
		r = s.rankOf(j, index)
	}
	if w.rank == r || w.rank != nil && r != nil && *w.rank == *r {
		return s
	}
	if w.rank != nil {
		s.ready = s.ready.Delete(*w.rank)
	}
	if r != nil {
		s.ready = s.ready.Set(*r, place{job: id, work: index})
		s.mustPump = true
	}
	w.rank = r
	return s.withJob(j.withWork(index, w))
}

// Classes of ready works, the most urgent first.
const (
	classLasting = iota // earns only while it is at work
	classInTime
	classLate // its objective cannot be met any more
)

func (s State) rankOf(j jobState, index int) *rank {
	w := j.works[index]
	r := rank{class: classInTime, priority: j.queue.Priority, id: j.sub.ID, work: index}
	switch {
	case j.sub.Steps[w.step].LongRunning:
		r.class, r.remaining = classLasting, w.due.Milliseconds()
		return &r
	case s.now > j.latest(w):
		r.class = classLate
	}
	r.remaining = int64(j.remaining(w.occurrence) * 1000)
	return &r
}

func (s State) withAllRanks(id job.ID) State {
	j, ok := s.jobs.Get(id)
	if !ok {
		return s
	}
	for i := range j.works {
		s = s.withRank(id, i)
	}
	return s
}

func note(level slog.Level, event string, attrs ...any) Note {
	return Note{Level: level, Event: event, Attrs: attrs}
}

// Look is what callers may ask about a job.
type Look struct {
	Known bool
	State job.State
}

// Look returns the state of a job as callers see it.
func (s State) Look(id job.ID) Look {
	j, ok := s.jobs.Get(id)
	if !ok || !j.stored {
		return Look{}
	}
	if j.state == job.Queued && j.begun {
		return Look{Known: true, State: job.Running}
	}
	return Look{Known: true, State: j.state}
}

// Pending returns how many accepted jobs of a queue have not begun.
func (s State) Pending(queue string) int {
	n := 0
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.queue.Name == queue && j.stored && !j.begun && !j.state.Final() {
			n++
		}
	}
	return n
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// Settings are the limits of the decision.
type Settings struct {
	Lease      time.Duration // for which a worker runs jobs after it last joined
	Margin     time.Duration // after the lease before its jobs run elsewhere
	Failures   int           // failed starts of different jobs in a row that quarantine a worker
	Starting   int           // jobs that a worker may be starting at a time
	Quarantine time.Duration // the first one
	Growth     int           // factor from one quarantine to the next
	Attempts   int           // workers on which a job may fail to start
	Samples    int           // finished jobs of a kind from which sizes are learned
	Headroom   float64       // factor on the learned size
	Wait       time.Duration // after which an urgent job displaces background work
	Straggler  int           // factor over the longest run time of its kind that makes a job a straggler
	Displaced  int           // jobs displaced in a step
	Batch      int           // jobs started in a step, so that a step after a restart stays short
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Lease:      10 * time.Second,
		Margin:     time.Second,
		Failures:   3,
		Starting:   3, // so that a worker that fails everything is quarantined after three lost starts
		Quarantine: 15 * time.Minute,
		Growth:     4, // with 15 minutes at first at most four probations a day
		Attempts:   3,
		Samples:    5,
		Headroom:   1.2,
		Wait:       500 * time.Millisecond, // leaves time for two checkpoints and the start within 6.7 s
		Straggler:  4,
		Displaced:  32,
		Batch:      1000,
	}
}

// phase is what a job does.
type phase int

const (
	queued phase = iota
	aside
	starting
	running
	saving // a checkpoint was asked for
)

// job is a job with its place.
type job struct {
	job      Job
	phase    phase
	sequence uint64
	since    time.Time // in the phase
	worker   string
	size     Size // that it holds
	failed   []string
	reason   string
	over     bool      // was throttled
	asked    time.Time // when it last displaced other jobs
}

// worker is a worker with what runs on it.
type worker struct {
	worker   Worker
	free     Size
	jobs     *immutable.SortedMap[string, struct{}]
	until    time.Time // end of the lease
	starting int
	failures []string // jobs that failed to start in a row
	rounds   int      // quarantines in a row
	banned   time.Time
}

// slot orders the queue by class and then by arrival.
type slot struct {
	class    message.Class
	sequence uint64
}

type slotOrder struct{}

// Compare orders slots.
func (slotOrder) Compare(a, b slot) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sequence, b.sequence))
}

// room is the free size of a worker, in the order in which workers are searched.
type room struct {
	accelerators int
	cores        float64
	worker       string
}

type roomOrder struct{}

// Compare orders rooms by accelerators, cores and worker, so that the first that fits leaves the least.
func (roomOrder) Compare(a, b room) int {
	return cmp.Or(cmp.Compare(a.accelerators, b.accelerators), cmp.Compare(a.cores, b.cores), cmp.Compare(a.worker, b.worker))
}

// learned is what the finished jobs of a kind showed.
type learned struct {
	peaks []Size // of the last jobs
	size  Size   // the largest of them with headroom
}

// State is what is known of jobs and workers; it is an immutable value.
type State struct {
	settings Settings
	now      time.Time
	sequence uint64
	quotas   map[string]Size // replaced as a whole
	held     *immutable.SortedMap[string, Size]
	jobs     *immutable.SortedMap[string, job]
	queue    *immutable.SortedMap[slot, job]
	aside    *immutable.SortedMap[string, struct{}]
	workers  *immutable.SortedMap[string, worker]
	rooms    *immutable.SortedMap[room, struct{}]  // of the workers that take jobs
	learned  *immutable.SortedMap[string, learned] // by kind
	times    *immutable.SortedMap[string, []time.Duration]
}

// New returns a state without jobs and workers.
func New(s Settings) State {
	return State{
		settings: s,
		held:     immutable.NewSortedMap[string, Size](nil),
		jobs:     immutable.NewSortedMap[string, job](nil),
		queue:    immutable.NewSortedMap[slot, job](slotOrder{}),
		aside:    immutable.NewSortedMap[string, struct{}](nil),
		workers:  immutable.NewSortedMap[string, worker](nil),
		rooms:    immutable.NewSortedMap[room, struct{}](roomOrder{}),
		times:    immutable.NewSortedMap[string, []time.Duration](nil),
		learned:  immutable.NewSortedMap[string, learned](nil),
	}
}

// withNow returns a copy at the given time, which never runs backwards.
func (s State) withNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

// withJob returns a copy with the job, and with its place in the queue or among those set aside.
func (s State) withJob(j job) State {
	id := j.job.ID
	at := slot{class: j.job.Class, sequence: j.sequence}
	if old, ok := s.jobs.Get(id); ok && old.phase == queued && j.phase != queued {
		s.queue = s.queue.Delete(at)
	}
	if j.phase == queued {
		s.queue = s.queue.Set(at, j)
	}
	s.aside = s.aside.Delete(id)
	if j.phase == aside {
		s.aside = s.aside.Set(id, struct{}{})
	}
	s.jobs = s.jobs.Set(id, j)
	return s
}

// withoutJob returns a copy that has forgotten the job.
func (s State) withoutJob(j job) State {
	s.queue = s.queue.Delete(slot{class: j.job.Class, sequence: j.sequence})
	s.aside = s.aside.Delete(j.job.ID)
	s.jobs = s.jobs.Delete(j.job.ID)
	return s
}

// withWorker returns a copy with the worker, which is searched only while it takes jobs.
func (s State) withWorker(w worker) State {
	if old, ok := s.workers.Get(w.worker.ID); ok {
		s.rooms = s.rooms.Delete(old.room())
	}
	if s.takes(w) {
		s.rooms = s.rooms.Set(w.room(), struct{}{})
	}
	s.workers = s.workers.Set(w.worker.ID, w)
	return s
}

func (w worker) room() room {
	return room{accelerators: w.free.Accelerators, cores: w.free.Cores, worker: w.worker.ID}
}

// takes returns whether the worker may start another job.
func (s State) takes(w worker) bool {
	if w.starting >= s.settings.Starting || !s.now.Before(w.until) {
		return false
	}
	if w.rounds > 0 { // on probation it starts one job at a time
		return !s.now.Before(w.banned) && w.starting == 0
	}
	return true
}

// withPlace returns a copy in which the job holds its size on the worker.
func (s State) withPlace(j job, w worker, size Size) State {
	j.phase, j.since, j.worker, j.size, j.over = starting, s.now, w.worker.ID, size, false
	w.free = w.free.Minus(size)
	w.jobs = w.jobs.Set(j.job.ID, struct{}{})
	w.starting++
	held, _ := s.held.Get(j.job.Team)
	s.held = s.held.Set(j.job.Team, held.Plus(size))
	return s.withJob(j).withWorker(w)
}

// withRelease returns a copy in which the job holds nothing, and the job, which no longer has a worker.
func (s State) withRelease(j job) (State, job) {
	held, _ := s.held.Get(j.job.Team)
	s.held = s.held.Set(j.job.Team, held.Minus(j.size))
	if w, ok := s.workers.Get(j.worker); ok {
		w.free = w.free.Plus(j.size)
		w.jobs = w.jobs.Delete(j.job.ID)
		if j.phase == starting {
			w.starting--
		}
		s = s.withWorker(w)
	}
	j.worker, j.size, j.since = "", Size{}, s.now
	return s, j
}

// Size returns the learned size of a job, or its declared one while too few of its kind have finished.
func (s State) Size(j Job) Size {
	l, _ := s.learned.Get(j.kind())
	if len(l.peaks) < s.settings.Samples {
		return j.Declared
	}
	return l.size
}

// straggles returns whether a running job takes many times longer than others of its kind.
func (s State) straggles(j job) bool {
	times, _ := s.times.Get(j.job.kind())
	if j.job.Class == message.Urgent || len(times) < s.settings.Samples {
		return false
	}
	return s.now.Sub(j.since) > time.Duration(s.settings.Straggler)*slices.Max(times)
}

// kind returns the key under which sizes and run times are learned.
func (j Job) kind() string { return j.Team + "/" + j.Kind }

// Waiting returns the number of queued jobs.
func (s State) Waiting() int { return s.queue.Len() }

// Aside returns why a job is set aside, or "".
func (s State) Aside(id string) string {
	j, _ := s.jobs.Get(id)
	return j.reason
}

// Place returns the worker that holds the job, or "".
func (s State) Place(id string) string {
	j, _ := s.jobs.Get(id)
	return j.worker
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// Settings are the limits and delays of placement.
type Settings struct {
	LeaseDuration    time.Duration // for which a worker runs jobs after a heartbeat
	LeaseMargin      time.Duration // after lease expiry before the jobs of the worker are placed elsewhere
	FailureThreshold int           // consecutive failed starts of different jobs that quarantine a worker
	MaxStarting      int           // jobs that may be starting on a worker at a time
	BaseQuarantine   time.Duration // length of the first quarantine
	QuarantineGrowth int           // factor from one quarantine to the next
	MaxAttempts      int           // failed starts on different workers after which a job is unschedulable
	MinSamples       int           // finished jobs of a kind before sizes and run times are learned from them
	Headroom         float64       // factor on the learned size
	PreemptionDelay  time.Duration // for which an urgent job is queued before it preempts others
	StragglerFactor  int           // multiple of the longest run time of its kind beyond which a job is a straggler
	MaxPreemptions   int           // jobs preempted in one Tick
	MaxStarts        int           // jobs started in one Tick, which keeps the first one after a restart short
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		LeaseDuration:    10 * time.Second,
		LeaseMargin:      time.Second,
		FailureThreshold: 3,
		MaxStarting:      3, // a worker that fails every job is quarantined after three failed starts
		BaseQuarantine:   15 * time.Minute,
		QuarantineGrowth: 4, // after a first quarantine of 15 minutes this allows at most four probations a day
		MaxAttempts:      3,
		MinSamples:       5,
		Headroom:         1.2,
		PreemptionDelay:  500 * time.Millisecond, // leaves time for two checkpoints and the start within the target of 6.7 s
		StragglerFactor:  4,
		MaxPreemptions:   32,
		MaxStarts:        1000,
	}
}

// phase is the stage of the life cycle of a job.
type phase int

const (
	queued phase = iota
	unschedulable
	starting
	running
	checkpointing // a checkpoint was requested
)

// job is a submitted job with its phase and its worker.
type job struct {
	spec           Job
	phase          phase
	sequence       uint64    // order of submission
	since          time.Time // when the phase began
	worker         string
	size           Size     // reserved on the worker
	failedOn       []string // workers on which it failed to start
	reason         string   // why it is unschedulable
	throttled      bool
	lastPreemption time.Time // when it last preempted other jobs
}

// worker is a registered worker with its free resources and its jobs.
type worker struct {
	spec             Worker
	free             Size
	jobs             *immutable.SortedMap[string, struct{}]
	leaseUntil       time.Time
	starting         int
	failedJobs       []string // distinct jobs that consecutively failed to start
	quarantines      int      // consecutive ones; positive also on probation
	quarantinedUntil time.Time
}

// queueKey orders the queue by class and then by arrival.
type queueKey struct {
	class    message.Class
	sequence uint64
}

type queueOrder struct{}

// Compare orders queue keys by class and sequence number.
func (queueOrder) Compare(a, b queueKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sequence, b.sequence))
}

// capacityKey orders workers by free capacity for the best-fit search.
type capacityKey struct {
	accelerators int
	cores        float64
	worker       string
}

type capacityOrder struct{}

// Compare orders keys by accelerators, cores and worker, so that the first worker that fits leaves the least unused.
func (capacityOrder) Compare(a, b capacityKey) int {
	return cmp.Or(cmp.Compare(a.accelerators, b.accelerators), cmp.Compare(a.cores, b.cores), cmp.Compare(a.worker, b.worker))
}

// learnedSize holds the sizes learned from the finished jobs of a kind.
type learnedSize struct {
	peaks []Size // of the most recent jobs
	size  Size   // largest of each resource with headroom
}

// State holds the jobs, the workers and the learned sizes and run times. It is immutable.
type State struct {
	settings      Settings
	now           time.Time
	sequence      uint64
	quotas        map[string]Size                    // by team; replaced as a whole
	usage         *immutable.SortedMap[string, Size] // by team
	jobs          *immutable.SortedMap[string, job]
	queue         *immutable.SortedMap[queueKey, job]
	unschedulable *immutable.SortedMap[string, struct{}]
	workers       *immutable.SortedMap[string, worker]
	byCapacity    *immutable.SortedMap[capacityKey, struct{}]   // of the workers that accept jobs
	sizes         *immutable.SortedMap[string, learnedSize]     // by kind
	runTimes      *immutable.SortedMap[string, []time.Duration] // by kind
}

// New returns a state without jobs and workers.
func New(s Settings) State {
	return State{
		settings:      s,
		usage:         immutable.NewSortedMap[string, Size](nil),
		jobs:          immutable.NewSortedMap[string, job](nil),
		queue:         immutable.NewSortedMap[queueKey, job](queueOrder{}),
		unschedulable: immutable.NewSortedMap[string, struct{}](nil),
		workers:       immutable.NewSortedMap[string, worker](nil),
		byCapacity:    immutable.NewSortedMap[capacityKey, struct{}](capacityOrder{}),
		runTimes:      immutable.NewSortedMap[string, []time.Duration](nil),
		sizes:         immutable.NewSortedMap[string, learnedSize](nil),
	}
}

// withNow returns a copy at the given time; an earlier time than the present one is ignored.
func (s State) withNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

// withJob returns a copy with the job, which is also indexed as queued or unschedulable.
func (s State) withJob(j job) State {
	id := j.spec.ID
	key := queueKey{class: j.spec.Class, sequence: j.sequence}
	if old, ok := s.jobs.Get(id); ok && old.phase == queued && j.phase != queued {
		s.queue = s.queue.Delete(key)
	}
	if j.phase == queued {
		s.queue = s.queue.Set(key, j)
	}
	s.unschedulable = s.unschedulable.Delete(id)
	if j.phase == unschedulable {
		s.unschedulable = s.unschedulable.Set(id, struct{}{})
	}
	s.jobs = s.jobs.Set(id, j)
	return s
}

// withoutJob returns a copy without the job.
func (s State) withoutJob(j job) State {
	s.queue = s.queue.Delete(queueKey{class: j.spec.Class, sequence: j.sequence})
	s.unschedulable = s.unschedulable.Delete(j.spec.ID)
	s.jobs = s.jobs.Delete(j.spec.ID)
	return s
}

// withWorker returns a copy with the worker, which is in the capacity index only while it accepts jobs.
func (s State) withWorker(w worker) State {
	if old, ok := s.workers.Get(w.spec.ID); ok {
		s.byCapacity = s.byCapacity.Delete(old.capacityKey())
	}
	if s.acceptsJobs(w) {
		s.byCapacity = s.byCapacity.Set(w.capacityKey(), struct{}{})
	}
	s.workers = s.workers.Set(w.spec.ID, w)
	return s
}

func (w worker) capacityKey() capacityKey {
	return capacityKey{accelerators: w.free.Accelerators, cores: w.free.Cores, worker: w.spec.ID}
}

// acceptsJobs reports whether the worker may start another job.
func (s State) acceptsJobs(w worker) bool {
	if w.starting >= s.settings.MaxStarting || !s.now.Before(w.leaseUntil) {
		return false
	}
	if w.quarantines > 0 { // a worker on probation starts one job at a time
		return !s.now.Before(w.quarantinedUntil) && w.starting == 0
	}
	return true
}

// withAssignment returns a copy in which the job is starting on the worker with the size reserved.
func (s State) withAssignment(j job, w worker, size Size) State {
	j.phase, j.since, j.worker, j.size, j.throttled = starting, s.now, w.spec.ID, size, false
	w.free = w.free.Minus(size)
	w.jobs = w.jobs.Set(j.spec.ID, struct{}{})
	w.starting++
	held, _ := s.usage.Get(j.spec.Team)
	s.usage = s.usage.Set(j.spec.Team, held.Plus(size))
	return s.withJob(j).withWorker(w)
}

// withoutAssignment returns a copy without the reservation of the job, and the job without a worker. The caller sets
// the next phase of the job and stores it.
func (s State) withoutAssignment(j job) (State, job) {
	held, _ := s.usage.Get(j.spec.Team)
	s.usage = s.usage.Set(j.spec.Team, held.Minus(j.size))
	if w, ok := s.workers.Get(j.worker); ok {
		w.free = w.free.Plus(j.size)
		w.jobs = w.jobs.Delete(j.spec.ID)
		if j.phase == starting {
			w.starting--
		}
		s = s.withWorker(w)
	}
	j.worker, j.size, j.since = "", Size{}, s.now
	return s, j
}

// EstimateSize returns the learned size for a job, or its declared size while too few jobs of its kind have finished.
func (s State) EstimateSize(j Job) Size {
	learned, _ := s.sizes.Get(j.kind())
	if len(learned.peaks) < s.settings.MinSamples {
		return j.Declared
	}
	return learned.size
}

// isStraggler reports whether a running job takes many times longer than others of its kind.
func (s State) isStraggler(j job) bool {
	times, _ := s.runTimes.Get(j.spec.kind())
	if j.spec.Class == message.Urgent || len(times) < s.settings.MinSamples {
		return false
	}
	return s.now.Sub(j.since) > time.Duration(s.settings.StragglerFactor)*slices.Max(times)
}

// kind returns the key under which sizes and run times are learned.
func (j Job) kind() string { return j.Team + "/" + j.Kind }

// QueueLength returns the number of queued jobs.
func (s State) QueueLength() int { return s.queue.Len() }

// UnschedulableReason returns why a job is unschedulable, or "" if it is not.
func (s State) UnschedulableReason(id string) string {
	j, _ := s.jobs.Get(id)
	return j.reason
}

// WorkerOf returns the worker to which a job is assigned, or "".
func (s State) WorkerOf(id string) string {
	j, _ := s.jobs.Get(id)
	return j.worker
}

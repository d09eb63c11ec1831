package schedule

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"time"

	"teaselloft/internal/core/table"
	"teaselloft/internal/decision/interference"
	"teaselloft/internal/decision/runtimes"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// State holds the jobs and executors of a pool as its owner knows them. It is immutable.
type State struct {
	Pool               string
	Epoch              uint64
	policy             Policy
	now                time.Duration
	unixMilli          int64
	config             *site.Config
	moved              *immutable.Map[string, int64] // by path: version of a newer configuration that routes it to another pool
	jobs               *immutable.Map[job.ID, *jobState]
	executors          table.Table[executorState]            // by ID
	incarnations       uint64                                // number of incarnations of executors that this owner has called
	departed           *immutable.Map[string, time.Duration] // executors that this owner has called and no longer knows, by when it forgot them
	ready              *immutable.SortedMap[rank, taskSetRef]
	changed            *immutable.SortedMap[uint64, job.ID]          // jobs with unstored changes, by generation
	unreadable         *immutable.Map[job.ID, accountID]             // jobs with a record in the store that can't be decoded, by account
	due                *immutable.SortedMap[dueOccurrence, struct{}] // next occurrence of each schedule that may open one
	ended              *immutable.Map[job.ID, struct{}]              // ended jobs, kept for the retention
	generation         uint64                                        // last generation assigned to a changed job
	lastCommit         uint64                                        // number of the last commit
	inFlight           [Lanes]*pendingCommit                         // by lane; nil for a free lane
	lastCommitResultAt time.Duration                                 // when the last result arrived, plus a backoff if the store refused the commit
	lastOpenedAt       time.Duration                                 // when an executor has last answered this owner for the first time
	confirmedAt        time.Duration                                 // when the last successful commit was sent, at which time this owner still owned the pool
	confirmationDue    bool                                          // a commit has to confirm the ownership
	nextConfirmationAt time.Duration                                 // no commit without any record before
	commitOverdue      bool                                          // a commit has had no result for commitOverdueAfter
	recorded           usedSet                                       // the executors in the stored record
	recordedAt         time.Duration                                 // when the last record was sent
	handingOver        bool                                          // this owner extends no lease and starts nothing any more
	handingOverSince   time.Duration
	former             formerOwner
	vanished           []vanishedRun            // whose tasks wait for a commit
	usedChanged        bool                     // the stored record of the used executors is out of date
	unsettled          map[string]time.Duration // executors that may have runs of a former owner and have not answered, by when those have ended; 0 for settleDeadline
	continuous         map[string]int64         // executors that the former owner has used without an interruption until its last record, by their birth
	recoveredAt        time.Duration            // when this owner took the pool over
	settleDeadline     time.Duration            // by then the leases that the former owner has extended have expired
	largest            map[string]job.Resources // by label, and for "" of all: the largest amount of each resource that a listed executor has
	laterScanAt        time.Duration            // when a cycle has last looked behind the first task sets without room
	scanFrom           rank                     // where the next such cycle goes on
	lastSweep          time.Duration
	interference       interference.State // which images slow each other down
	lastExpiry         time.Duration      // when learned pairs were last checked for their age
	nextStepAt         time.Duration      // when the tasks of a further step may be observed
	lastMove           time.Duration      // when a task was last moved away from its neighbours
	runTimes           runtimes.State     // how long the tasks of an image run
	accounts           *accounts          // client accounts
	placementDue       bool               // whether the next scheduling cycle has to look for tasks to start
}

// Lanes is the number of commits that may be in flight at a time. Changes of one job are always in one commit at a time.
const Lanes = 4

// pendingCommit is a commit without a result yet.
type pendingCommit struct {
	number  uint64
	sent    time.Duration
	jobs    []pendingJob
	stalled bool    // the store did not answer an attempt; callers no longer wait
	used    usedSet // the executors in the record that it contains; nil if it contains none
	last    bool    // the record releases all executors, because this owner hands the pool over
}

// vanishedRun is a run that has ended without a report, because its executor has started again.
type vanishedRun struct {
	task job.Task
	run  uint64
	at   time.Duration // when that was noticed
}

// pendingJob is a job in a pending commit, as it was when the commit was sent.
type pendingJob struct {
	id           job.ID
	generation   uint64 // of the oldest change in the commit
	stored       bool   // the job record was stored before this commit
	outcome      job.State
	cancelTokens []uint64
	ended        []*occurrence // occurrences that are over since the commit before
}

// taskSetRef identifies a task set.
type taskSetRef struct {
	job        job.ID
	occurrence int
	step       int
}

// rank is the sort key of the ready queue. Within a class and priority, jobs with the least remaining work come first,
// so that the largest number of jobs meets its objective under overload. In a configuration with accounts, each account has
// a part of the queue.
type rank struct {
	account    accountID // noAccount in a configuration without accounts
	class      int32
	priority   int
	remaining  int64 // expected core-milliseconds left of the occurrence; for a long-running task set, its due time in ms
	id         job.ID
	occurrence int
	step       int
}

// idHasher implements immutable.Hasher. The default one uses reflection for a type of string.
type idHasher struct{}

// Hash implements immutable.Hasher.
func (idHasher) Hash(id job.ID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Equal implements immutable.Hasher.
func (idHasher) Equal(a, b job.ID) bool { return a == b }

type rankOrder struct{}

// Compare implements immutable.Comparer.
func (rankOrder) Compare(a, b rank) int {
	if a.account != b.account {
		return cmp.Compare(a.account, b.account)
	}
	return a.compare(b)
}

// compare compares the ranks of task sets whatever their accounts are.
func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), cmp.Compare(a.remaining, b.remaining),
		strings.Compare(string(a.id), string(b.id)), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
}

// New returns the state of a new owner without jobs and executors.
func New(pool string, epoch uint64, p Policy, now time.Duration, unixMilli int64) State {
	return State{
		Pool: pool, Epoch: epoch, policy: p, now: now, unixMilli: unixMilli, recoveredAt: now,
		config:  &site.Config{},
		moved:   immutable.NewMap[string, int64](nil),
		jobs:    immutable.NewMap[job.ID, *jobState](idHasher{}),
		ready:   immutable.NewSortedMap[rank, taskSetRef](rankOrder{}),
		changed: immutable.NewSortedMap[uint64, job.ID](nil),
		due:     immutable.NewSortedMap[dueOccurrence, struct{}](dueOrder{}), unreadable: immutable.NewMap[job.ID, accountID](idHasher{}),
		ended: immutable.NewMap[job.ID, struct{}](idHasher{}), departed: immutable.NewMap[string, time.Duration](nil),
		runTimes:  runtimes.New(),
		unsettled: map[string]time.Duration{}, former: formerEnded{}, accounts: &accounts{names: []string{noAccount: ""}},
	}
}

// job returns a job of the pool.
func (s State) job(id job.ID) (jobState, bool) {
	if j, ok := s.jobs.Get(id); ok {
		return *j, true
	}
	return jobState{}, false
}

// executor returns an executor of the pool.
func (s State) executor(id string) (executorState, bool) {
	if e, ok := s.executors.Get(id); ok {
		return *e, true
	}
	return executorState{}, false
}

// The maps hold pointers, because a change of a map copies a whole node of it with up to 32 values.

func (s State) withJob(j jobState) State {
	if j.sub.Repeat > 0 {
		s = s.withDue(&j)
	}
	s.jobs = s.jobs.Set(j.sub.ID, &j)
	return s
}

func (s State) withExecutor(e executorState) State {
	return s.withExecutorPointer(&e)
}

// eachExecutor calls f for each executor, ordered by ID. f must not change the executor.
func (s State) eachExecutor(f func(*executorState)) {
	s.executors.Each(f)
}

// withChange stores a changed job in the state and marks it for the next commit.
func (s State) withChange(j jobState) State {
	if j.dirtyGeneration == 0 {
		s.generation++
		j.dirtyGeneration = s.generation
		s.changed = s.changed.Set(s.generation, j.sub.ID)
	}
	return s.withJob(j)
}

// withRank adds a task set to the ready queue, moves it or removes it, according to the state of its job.
func (s State) withRank(ref taskSetRef) State {
	j, ok := s.job(ref.job)
	if !ok {
		return s
	}
	return s.withRanks(j, j.occurrence(ref.occurrence), ref.step, ref.step+1)
}

// withOccurrenceRanks updates the ranks of the task sets of an occurrence.
func (s State) withOccurrenceRanks(id job.ID, number int) State {
	j, ok := s.job(id)
	if !ok {
		return s
	}
	return s.withRanks(j, j.occurrence(number), 0, len(j.sub.Steps))
}

// withAllRanks updates the rank of every task set of a job.
func (s State) withAllRanks(id job.ID) State {
	j, ok := s.job(id)
	if !ok {
		return s
	}
	for _, o := range j.open.All() {
		s = s.withOccurrenceRanks(id, o.number)
	}
	return s
}

// withRanks updates the ranks of the task sets of an occurrence for a range of steps. The occurrence may be nil.
func (s State) withRanks(j jobState, o *occurrence, from, to int) State {
	if o == nil {
		return s
	}
	mayStart := j.schedulable() && (!j.recovered || len(s.unsettled) == 0)
	remaining := int64(-1)
	var sets []*taskSet // the changed copy
	for step := from; step < to; step++ {
		ts := o.sets[step]
		var r *rank
		if mayStart && ts.waiting > 0 && o.dependenciesDone(j.sub.Steps[step]) {
			if remaining < 0 {
				remaining = o.remaining(j)
			}
			r = s.rankOf(j, ts, remaining)
		}
		if ts.rank == r || ts.rank != nil && r != nil && *ts.rank == *r {
			continue
		}
		if ts.rank != nil {
			s.ready = s.ready.Delete(*ts.rank)
		}
		if r != nil {
			s.ready = s.ready.Set(*r, taskSetRef{job: j.sub.ID, occurrence: o.number, step: step})
			s.placementDue = true
		}
		if sets == nil {
			sets = slices.Clone(o.sets)
		}
		changed := *ts
		changed.rank = r
		sets[step] = &changed
	}
	if sets == nil {
		return s
	}
	return s.withJob(j.withOccurrence(o.withSets(sets)))
}

// Classes of ready task sets, the most urgent first.
const (
	classLongRunning = iota // only useful while its tasks run
	classInTime
	classLate      // can no longer meet its objective
	classOversized // larger than every executor of the pool
)

// rankOf returns the rank of a ready task set. The argument remaining is that of its occurrence.
func (s State) rankOf(j jobState, ts *taskSet, remaining int64) *rank {
	r := rank{account: s.partOf(j), class: classInTime, priority: j.queue.Priority, remaining: remaining, id: j.sub.ID, occurrence: ts.occurrence, step: ts.step}
	switch {
	case !s.mayFit(j.sub.Steps[ts.step]):
		r.class = classOversized
	case j.sub.Steps[ts.step].LongRunning:
		r.class, r.remaining = classLongRunning, ts.due.Milliseconds()
	case s.now > j.latestStart(ts):
		r.class = classLate
	}
	return &r
}

// mayFit reports whether an executor of the pool can have room for a task of a step. It is true for a pool without
// executors, which may get some of any size.
func (s State) mayFit(step job.Step) bool {
	return len(s.largest) == 0 || step.Demand().FitsIn(s.largest[step.Label])
}

// withLargest updates the largest capacities from the listed executors, and the ranks of the task sets that none of them
// had room for.
func (s State) withLargest() State {
	largest := map[string]job.Resources{}
	grown := false
	s.eachExecutor(func(e *executorState) {
		if !e.listed {
			return
		}
		for _, label := range append([]string{""}, e.info.Labels...) {
			r, c := largest[label], e.info.Capacity
			r = job.Resources{CPU: max(r.CPU, c.CPU), Memory: max(r.Memory, c.Memory), GPU: max(r.GPU, c.GPU)}
			largest[label] = r
			grown = grown || !r.FitsIn(s.largest[label])
		}
	})
	grown = grown || len(largest) == 0
	s.largest = largest
	if !grown {
		return s
	}
	var oversized []taskSetRef
	s.eachOversized(func(ref taskSetRef) { oversized = append(oversized, ref) })
	for _, ref := range oversized {
		s = s.withRank(ref)
	}
	return s
}

func note(level slog.Level, event string, attrs ...any) Note {
	return Note{Level: level, Event: event, Attrs: attrs}
}

// JobStatus is the status of a job; Known is false for a job that is not stored.
type JobStatus struct {
	Known      bool
	Unreadable bool // there is a record, which can't be decoded
	State      job.State
}

// Status returns the status of a job as callers see it.
func (s State) Status(id job.ID) JobStatus {
	if s.isUnreadable(id) {
		return JobStatus{Unreadable: true}
	}
	j, ok := s.job(id)
	if !ok || !j.stored {
		return JobStatus{}
	}
	if j.state == job.Queued && j.started {
		return JobStatus{Known: true, State: job.Running}
	}
	return JobStatus{Known: true, State: j.state}
}

// Knows reports whether the pool has a job with this ID, stored or not.
func (s State) Knows(id job.ID) bool {
	_, ok := s.jobs.Get(id)
	return ok || s.isUnreadable(id)
}

func (s State) isUnreadable(id job.ID) bool {
	_, ok := s.unreadable.Get(id)
	return ok
}

// Pending returns the number of accepted jobs of a queue that have not started.
func (s State) Pending(queue string) int {
	n := 0
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.queue.Name == queue && j.stored && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

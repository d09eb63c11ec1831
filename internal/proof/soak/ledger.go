package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselloft/internal/standin/site"
)

// Time bounds of the guarantees, from the user documentation.
const (
	cancelBound  = 3 * time.Second        // from the acknowledgement of a cancellation until no task of the job starts
	restartBound = 9 * time.Second        // from the end of a long-running task's run until its next one has started
	earlyBound   = 250 * time.Millisecond // by which an occurrence of a schedule may start before it is due
	visibleBound = 3 * time.Second        // from the acknowledgement of a job until every daemon knows it
	lossSlack    = 200 * time.Millisecond // a request sent this shortly before a graceful stop ends its connection may be lost
	contactBound = 3 * time.Second        // time without a fault after which the bounds hold again
)

// Violation is an observed breach of a guarantee.
type Violation struct {
	Guarantee string
	Detail    string
	At        time.Duration // since the start of the soak
}

// Ledger records the callers' requests and the executors' events and checks them against each other.
type Ledger struct {
	begin time.Time

	mutex       sync.Mutex
	jobs        map[string]*jobRecord
	runs        map[string]map[string]uint64 // run by task, by executor
	done        map[string]bool              // tasks whose success was taken note of
	successes   map[string][]*success        // runs that have ended as done and are not acknowledged, by executor
	failures    map[string]int               // acknowledged failed runs by task
	ended       map[string]bool              // tasks that have succeeded on an executor
	lastEnd     map[string]time.Duration     // of the latest run of each task that has ended
	idleSince   map[string]time.Duration     // end of the latest run of each long-running task that has had one and has none
	longestIdle time.Duration
	boundIdle   bool          // a long-running task without a run for too long is a violation
	lastKill    time.Duration // of a daemon; 0 if there was none
	faults      []span
	violations  []Violation
	starts      int
	lapsedNotes int            // acknowledged successes that are not taken note of, because a lease lapsed before
	answers     map[string]int // by kind of call and status
}

// success is a run that has ended as done.
type success struct {
	task   string
	run    uint64
	lapsed bool     // the executor's lease has lapsed since the end
	later  []string // starts of the task since the end
}

// span is the period of a fault. Its end is far in the future while the fault lasts.
type span struct {
	name     string
	planned  bool // a graceful stop or a configuration change, which must not interrupt requests
	from, to time.Duration
}

// jobRecord is a job as its callers know it.
type jobRecord struct {
	job             site.Job
	attempts        int
	refused         int
	accepted        time.Duration
	cancelled       time.Duration // when the cancellation was acknowledged
	cancelRequested bool          // a cancellation was sent
	final           string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		begin: time.Now(), jobs: map[string]*jobRecord{}, runs: map[string]map[string]uint64{}, done: map[string]bool{},
		successes: map[string][]*success{}, failures: map[string]int{}, ended: map[string]bool{}, lastEnd: map[string]time.Duration{},
		idleSince: map[string]time.Duration{}, answers: map[string]int{},
	}
}

// NewBoundedLedger returns an empty ledger that also checks how long long-running tasks have no run.
func NewBoundedLedger() *Ledger {
	l := NewLedger()
	l.boundIdle = true
	return l
}

func (l *Ledger) now() time.Duration { return time.Since(l.begin) }

// Violations returns the violations so far, in the order in which they were noticed.
func (l *Ledger) Violations() []Violation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.violations)
}

// violated records a violation.
func (l *Ledger) violated(promise, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.note(promise, format, args...)
}

func (l *Ledger) note(promise, format string, args ...any) {
	l.violations = append(l.violations, Violation{Guarantee: promise, Detail: fmt.Sprintf(format, args...), At: l.now()})
}

// beginFault records the begin of a fault and returns a function that records its end.
func (l *Ledger) beginFault(name string, planned bool) (end func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	index := len(l.faults)
	l.faults = append(l.faults, span{name: name, planned: planned, from: l.now(), to: 1 << 62})
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.faults[index].to = l.now()
	}
}

// noFaultSince reports whether no fault has been active since a time. Planned faults are ignored if ignorePlanned
// is set.
func (l *Ledger) noFaultSince(since time.Duration, ignorePlanned bool) bool {
	for _, f := range l.faults {
		if f.to > since && (!f.planned || !ignorePlanned) {
			return false
		}
	}
	return true
}

// Observe records an event of the stand-in site and checks it.
func (l *Ledger) Observe(e site.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch e := e.(type) {
	case site.Start:
		l.starts++
		l.checkStart(e)
	case site.End:
		delete(l.runs[e.Executor], e.Task)
		l.lastEnd[e.Task] = l.now()
		l.beginIdle(e.Task)
		if e.How == "done" {
			l.ended[e.Task] = true
			l.successes[e.Executor] = append(l.successes[e.Executor], &success{task: e.Task, run: e.Run})
		}
	case site.Noted:
		if e.How == "done" {
			l.successNoted(e)
		}
		if e.How == "failed" {
			l.failures[e.Task]++
		}
	case site.Lapse:
		for _, x := range l.successes[e.Executor] {
			x.lapsed = true
		}
	case site.Gone:
		for task := range l.runs[e.Executor] {
			l.beginIdle(task)
		}
		delete(l.runs, e.Executor)
		delete(l.successes, e.Executor) // nobody can acknowledge them any more
	case site.Upkeep:
		if e.Down > waveMaxUnavailable {
			l.note("LIMIT", "%d instances of wave %d are down with %s, %d may be", e.Down, e.Wave, e.Instance, waveMaxUnavailable)
		}
	default:
		panic(fmt.Sprintf("soak: event %T is not handled", e))
	}
}

// startedLater records a start with the successes of the task that are not acknowledged yet.
func (l *Ledger) startedLater(e site.Start) {
	for _, open := range l.successes {
		for _, x := range open {
			if x.task == e.Task {
				x.later = append(x.later, fmt.Sprintf("run %d started on %s at %v", e.Run, e.Executor, l.now().Round(time.Millisecond)))
			}
		}
	}
}

// successNoted records that an owner has acknowledged a run that ended as done. The end is taken note of unless the
// executor's lease has lapsed between the two; starts of the task after the end are violations then, whether they came
// before the acknowledgement or come later.
func (l *Ledger) successNoted(e site.Noted) {
	open := l.successes[e.Executor]
	n := slices.IndexFunc(open, func(x *success) bool { return x.task == e.Task && x.run == e.Run })
	if n < 0 {
		l.note("harness", "%s run %d was acknowledged on %s and has not ended there", e.Task, e.Run, e.Executor)
		return
	}
	x := open[n]
	l.successes[e.Executor] = slices.Delete(open, n, n+1)
	if l.lasts(e.Task) {
		return // it is started again however it ends
	}
	if x.lapsed {
		l.lapsedNotes++
		return
	}
	l.done[e.Task] = true
	for _, start := range x.later {
		l.note("TWICE", "%s %s after run %d had ended as done on %s, which was taken note of later", e.Task, start, e.Run, e.Executor)
	}
}

// Submitting records that a submission is about to be sent.
func (l *Ledger) Submitting(j site.Job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.jobs[j.ID] == nil {
		l.jobs[j.ID] = &jobRecord{job: j}
	}
	l.jobs[j.ID].attempts++
}

// submitAnswered records the answer to a submission.
func (l *Ledger) submitAnswered(j site.Job, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[fmt.Sprintf("submit %d", status)]++
	x := l.jobs[j.ID]
	switch status {
	case http.StatusOK:
		if x.accepted == 0 {
			x.accepted = l.now()
		}
		if x.refused > 0 && x.refused == x.attempts {
			l.note("REFUSED", "job %s was accepted without an attempt that was not refused", j.ID)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		x.refused++
	case http.StatusConflict:
		l.note("LOST", "job %s is answered as if its id belonged to another job", j.ID)
	}
}

// stateAnswered records the answer to a state query and checks it.
func (l *Ledger) stateAnswered(j site.Job, asked time.Duration, status int, state string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[fmt.Sprintf("state %d", status)]++
	x := l.jobs[j.ID]
	switch {
	case status == http.StatusGone && x.accepted != 0 && asked > x.accepted+visibleBound && !x.cancelRequested:
		l.note("LOST", "job %s is not known %v after it was accepted", j.ID, l.now()-x.accepted)
	case state == "completed" && j.Steps[0].Lasting:
		l.note("LOST", "job %s is shown as completed, and lasts until it is canceled", j.ID)
	case state == "completed":
		l.completed(x)
	case state == "cancelled" && !x.cancelRequested:
		l.note("LOST", "job %s is shown as cancelled, and nobody has cancelled it", j.ID)
	}
	if state == "completed" || state == "failed" || state == "cancelled" {
		if x.final != "" && x.final != state {
			l.note("MIXED", "job %s is shown as %s after %s", j.ID, state, x.final)
		}
		x.final = state
	}
}

func (l *Ledger) completed(x *jobRecord) {
	for occurrence := range x.job.Occurrences() {
		for step, s := range x.job.Steps {
			for index := range s.Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", x.job.ID, occurrence, step, index); !l.ended[task] {
					l.note("MIXED", "job %s is shown as completed, and %s has not ended", x.job.ID, task)
					return
				}
			}
		}
	}
}

// Cancelling records that a cancellation is about to be sent.
func (l *Ledger) Cancelling(j site.Job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.jobs[j.ID].cancelRequested = true
	l.endIdleOf(j)
}

// cancelAnswered records the answer to a cancellation. Status 410 means that the job had already ended.
func (l *Ledger) cancelAnswered(j site.Job, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[fmt.Sprintf("cancel %d", status)]++
	if x := l.jobs[j.ID]; x.cancelled == 0 && status == http.StatusOK {
		x.cancelled = l.now()
	}
}

// connectionLost records a connection that ended without an answer to a request sent at a given time. It is a
// violation if the daemon was in a graceful stop and no unplanned fault was active since shortly before the request.
func (l *Ledger) connectionLost(d string, sent time.Duration, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers["cut"]++
	if l.now()-sent < lossSlack || !l.noFaultSince(sent-contactBound, true) {
		return
	}
	for _, f := range l.faults {
		if f.name == terminateName(d) && f.from <= l.now() && f.to > sent {
			l.note("LOST", "%s cut a request of %v ago while it stopped: %v", d, l.now()-sent, err)
			return
		}
	}
}

// open returns the accepted jobs for which no final state has been observed.
func (l *Ledger) open() []site.Job {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var open []site.Job
	for _, x := range l.jobs {
		if x.accepted != 0 && x.final == "" {
			open = append(open, x.job)
		}
	}
	return open
}

// running returns the running tasks of cancelled jobs.
func (l *Ledger) running() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var tasks []string
	for executor, runs := range l.runs {
		for task := range runs {
			if id, _, _, ok := parseTask(task); ok && l.jobs[id] != nil && l.jobs[id].cancelled != 0 {
				tasks = append(tasks, task+" on "+executor)
			}
		}
	}
	return tasks
}

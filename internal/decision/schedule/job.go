package schedule

import (
	"time"

	"teaselloft/internal/core/table"
	"teaselloft/internal/decision/interference"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// phase is the phase of a task or a run.
type phase int

const (
	waiting  phase = iota // no run
	starting              // start ordered, not confirmed; a task that isn't long-running stays so until its run ends
	running
	stopping
	done
)

// taskState holds what the owner knows of a task. It is immutable.
type taskState struct {
	phase      phase
	run        uint64 // highest run number so far
	executor   string
	since      time.Duration // start of the phase
	failedRuns []uint64      // numbers of the failed runs
	failedOn   string        // executor of the last failed run
	earlyEnds  int           // number of runs of a long-running task in succession that ended early
	checkpoint string        // latest checkpoint
	notBefore  time.Duration // earliest start of the next run
}

// taskSet holds the tasks of one step in one occurrence of a job. It is immutable.
type taskSet struct {
	occurrence int
	step       int
	tasks      table.List[taskState]
	waiting    int
	done       int
	failed     int // tasks of which a run has failed
	due        time.Duration
	rank       *rank             // key in the ready queue, nil if it is not ready
	ended      interference.Step // what the tasks that have ended tell about the others
	advice     *advice           // noAdvice before the first request
}

// untouched holds tasks that have not run yet. The task sets share it, so that the memory of a step does not grow with the
// number of its tasks before they run.
var untouched = table.Repeat(job.MaxTasks, &taskState{})

func (ts taskSet) withTask(index int, t taskState) taskSet {
	ts = ts.withCounts(ts.tasks.Get(index), &t)
	ts.tasks = ts.tasks.With(index, &t)
	return ts
}

// withCounts returns a copy with the counts after a task has changed.
func (ts taskSet) withCounts(before, after *taskState) taskSet {
	ts.waiting += boolToInt(after.phase == waiting) - boolToInt(before.phase == waiting)
	ts.done += boolToInt(after.phase == done) - boolToInt(before.phase == done)
	ts.failed += boolToInt(len(after.failedRuns) > 0) - boolToInt(len(before.failedRuns) > 0)
	return ts
}

// isDone reports whether all tasks are done.
func (ts *taskSet) isDone() bool { return ts.done == ts.tasks.Len() }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// jobState holds a job that was submitted to this owner or recovered from the store. It is immutable.
type jobState struct {
	sub             job.Submission
	queue           site.Queue
	version         int64           // of the configuration by which the caller has chosen the queue
	awaitsConfig    bool            // that configuration has not come yet, and the queue is not in the present one
	accepted        int64           // Unix milliseconds
	endedAt         int64           // Unix milliseconds
	objective       time.Duration   // time at which the job should have ended
	criticalPaths   []time.Duration // by step: estimated time from its start to the end of the job
	runTimes        []time.Duration // by step: expected run time of a task
	state           job.State       // as callers see it; stored if final
	outcome         job.State       // final state once it is decided, maybe not stored yet
	account         accountID
	stored          bool
	started         bool
	recovered       bool // read from the store at a takeover; its tasks may run on executors that have not answered yet
	open            table.Numbered[occurrence]
	next            int            // occurrences before this one have been opened; they are over unless they are open
	queued          int            // open occurrences of which no task has run
	ended           []*occurrence  // occurrences that are over, until that is part of a commit
	due             *dueOccurrence // key in the queue of the due occurrences, nil if it is not there
	behind          bool           // an occurrence is due and waits until earlier ones have begun
	mostFailures    int            // the largest number of failed runs of a task
	submitTokens    []uint64       // submissions to answer once the job is stored
	cancelTokens    []uint64       // cancellations to answer once the outcome is stored
	dirtyGeneration uint64         // generation of the oldest change that is not in a commit, 0 if there is none
	inCommit        bool           // a commit in flight contains the job
	progressWritten bool           // the store may have a progress record
	surplusAt       int64          // Unix milliseconds at which a run of a task was last left over that another run has done; 0 for never
	digest          uint64
}

// noAdvice is shared by the task sets for which none was requested.
var noAdvice = &advice{}

// advice holds the tickets for a task set. It is immutable.
type advice struct {
	requestedAt time.Duration // when it was last asked for, or came
	askedAt     time.Duration // when the tickets were asked for
	validUntil  time.Duration
	tickets     map[string]string // by executor
}

// withConfig returns a copy with the settings of its queue in a configuration. A job whose queue is not there keeps those
// that it has.
func (j jobState) withConfig(s State) jobState {
	if q, ok := s.queue(j.sub.Queue); ok {
		j.queue, j.awaitsConfig = q, false
		return j
	}
	j.awaitsConfig = j.awaitsConfig && j.version > s.config.Version
	return j
}

// schedulable reports whether tasks of the job may start.
func (j jobState) schedulable() bool {
	return j.stored && !j.awaitsConfig && !j.outcome.Final() && !j.state.Final()
}

// complete reports whether every task of every occurrence is done.
func (j jobState) complete() bool {
	return j.next == j.sub.Occurrences() && j.open.Len() == 0
}

// exhausted reports whether a task has failed as often as the queue allows.
func (j jobState) exhausted() bool { return j.mostFailures >= max(1, j.queue.Attempts) }

// criticalPaths returns for each step the estimated time from its start to the end of the job.
func criticalPaths(s job.Submission) []time.Duration {
	out := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		out[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}

// latestStart returns the latest time at which a task set can start if the job is to meet its objective.
func (j jobState) latestStart(ts *taskSet) time.Duration {
	return max(j.objective, ts.due) - j.criticalPaths[ts.step]
}

package schedule

import (
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// phase says where a task is.
type phase int

const (
	waiting  phase = iota // has no run
	starting              // ordered, not confirmed
	running
	stopping
	done
)

// taskState is what the owner knows of a task. It is immutable.
type taskState struct {
	phase    phase
	run      uint64 // the highest run so far
	executor string
	since    time.Duration // of the phase
	failed   []uint64      // the failed runs
	failedOn string        // the executor of the last failed run
	saved    string        // the latest checkpoint
	notUntil time.Duration
}

// work is one step of a job in one occurrence. It is immutable.
type work struct {
	occurrence int
	step       int
	tasks      []taskState
	waiting    int
	done       int
	due        time.Duration
	rank       *rank // its place among the ready works, nil when it is not ready
}

func (w work) withTask(index int, t taskState) work {
	before := w.tasks[index].phase
	w.tasks = slices.Clone(w.tasks)
	w.tasks[index] = t
	w.waiting += count(t.phase == waiting) - count(before == waiting)
	w.done += count(t.phase == done) - count(before == done)
	return w
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// jobState is an accepted job. It is immutable.
type jobState struct {
	sub       job.Submission
	queue     site.Queue
	accepted  int64 // Unix milliseconds
	ended     int64 // Unix milliseconds
	objective time.Duration
	tails     []time.Duration // by step: the estimated time from its start to the end of the job
	state     job.State       // as callers see it, stored when final
	outcome   job.State       // final state that is decided but not stored yet
	stored    bool
	begun     bool
	recovered bool // read from the store at a takeover: its tasks may run on executors that have not answered yet
	works     []work
	submits   []uint64 // tokens that are answered once the job is stored
	cancels   []uint64 // tokens that are answered once its outcome is stored
	dirty     uint64   // generation of the oldest change that is not in a write, 0 when there is none
	digest    uint64
	tickets   map[int]tickets
}

// tickets holds the advice on one work.
type tickets struct {
	asked time.Duration
	until time.Duration
	by    map[string]string // executor to ticket
}

func (j jobState) withWork(index int, w work) jobState {
	j.works = slices.Clone(j.works)
	j.works[index] = w
	return j
}

func (j jobState) find(t job.Task) (index int, ok bool) {
	for i, w := range j.works {
		if w.occurrence == t.Occurrence && w.step == t.Step && t.Index >= 0 && t.Index < len(w.tasks) {
			return i, true
		}
	}
	return 0, false
}

// open reports whether tasks of the job may start.
func (j jobState) open() bool {
	return j.stored && !j.outcome.Final() && !j.state.Final()
}

// complete reports whether every task of every occurrence has ended done.
func (j jobState) complete() bool {
	if len(j.works) != j.sub.Occurrences()*len(j.sub.Steps) {
		return false
	}
	for _, w := range j.works {
		if w.done != len(w.tasks) {
			return false
		}
	}
	return true
}

// prepared reports whether the steps before work index have all ended.
func (j jobState) prepared(index int) bool {
	w := j.works[index]
	for _, before := range j.sub.Steps[w.step].After {
		i, ok := j.find(job.Task{Occurrence: w.occurrence, Step: before})
		if !ok || j.works[i].done != len(j.works[i].tasks) {
			return false
		}
	}
	return true
}

// withOccurrence adds the works of an occurrence that has become due.
func (j jobState) withOccurrence(k int, due time.Duration) jobState {
	j.works = slices.Clone(j.works)
	for i, step := range j.sub.Steps {
		j.works = append(j.works, work{
			occurrence: k, step: i, due: due,
			tasks: make([]taskState, step.Count), waiting: step.Count,
		})
	}
	return j
}

// tails returns for each step the estimated time from its start to the end of the job.
func tails(s job.Submission) []time.Duration {
	out := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		out[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			out[before] = max(out[before], out[i])
		}
	}
	return out
}

// progress returns the stored form of what has ended.
func (j jobState) progress() job.Progress {
	var p job.Progress
	for _, w := range j.works {
		s := job.StepProgress{Occurrence: w.occurrence, Step: w.step}
		for i, t := range w.tasks {
			if t.phase == done {
				if s.Done == nil {
					s.Done = make([]byte, (len(w.tasks)+7)/8)
				}
				s.Done[i/8] |= 1 << (i % 8)
			}
			if len(t.failed) > 0 {
				s.Failures = append(s.Failures, job.Failure{Index: i, Runs: t.failed})
			}
		}
		if s.Done != nil || s.Failures != nil {
			p.Steps = append(p.Steps, s)
		}
	}
	return p
}

// withProgress marks what a stored progress says.
func (j jobState) withProgress(p job.Progress) jobState {
	for _, s := range p.Steps {
		i, ok := j.find(job.Task{Occurrence: s.Occurrence, Step: s.Step})
		if !ok {
			continue
		}
		w := j.works[i]
		for index := range w.tasks {
			if index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0 {
				w = w.withTask(index, taskState{phase: done})
			}
		}
		for _, f := range s.Failures {
			if f.Index >= 0 && f.Index < len(w.tasks) {
				t := w.tasks[f.Index]
				t.failed = f.Runs
				w = w.withTask(f.Index, t)
			}
		}
		j.begun = true
		j = j.withWork(i, w)
	}
	return j
}

// latest returns when a work must start for the job to meet its objective.
func (j jobState) latest(w work) time.Duration {
	return max(j.objective, w.due) - j.tails[w.step]
}

// remaining returns the core-seconds that are estimated for what has not ended of an occurrence.
func (j jobState) remaining(occurrence int) float64 {
	sum := 0.0
	for _, w := range j.works {
		if w.occurrence == occurrence {
			step := j.sub.Steps[w.step]
			sum += float64(len(w.tasks)-w.done) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
		}
	}
	return sum
}

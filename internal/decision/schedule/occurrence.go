package schedule

import (
	"iter"
	"slices"
	"time"

	"teaselloft/internal/model/job"
)

// occurrence holds the task sets of one time that a job runs. A job without a schedule has one. It is immutable.
type occurrence struct {
	number     int
	sets       []*taskSet // by step
	unfinished int        // task sets that are not done
	begun      bool       // a task has run, or may have
}

func newOccurrence(steps []job.Step, number int, due time.Duration) *occurrence {
	o := &occurrence{number: number, sets: make([]*taskSet, len(steps)), unfinished: len(steps)}
	sets := make([]taskSet, len(steps))
	for i, step := range steps {
		sets[i] = taskSet{occurrence: number, step: i, due: due, tasks: untouched.First(step.Count), waiting: step.Count, advice: noAdvice}
		o.sets[i] = &sets[i]
	}
	return o
}

// withSets returns a copy with other task sets, of which as many are done.
func (o *occurrence) withSets(sets []*taskSet) *occurrence {
	changed := *o
	changed.sets = sets
	return &changed
}

func (o *occurrence) withTaskSet(ts *taskSet) *occurrence {
	changed := o.withSets(slices.Clone(o.sets))
	changed.unfinished += boolToInt(o.sets[ts.step].isDone()) - boolToInt(ts.isDone())
	changed.begun = o.begun || ts.waiting < ts.tasks.Len()
	changed.sets[ts.step] = ts
	return changed
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (o *occurrence) dependenciesDone(step job.Step) bool {
	for _, before := range step.After {
		if !o.sets[before].isDone() {
			return false
		}
	}
	return true
}

// remaining returns the expected core-milliseconds of the tasks that are not done.
func (o *occurrence) remaining(j jobState) int64 {
	sum := 0.0
	for i, ts := range o.sets {
		sum += float64(ts.tasks.Len()-ts.done) * float64(j.sub.Steps[i].Need.CPU) / 1000 * j.runTimes[i].Seconds()
	}
	return int64(sum * 1000)
}

// occurrence returns an open occurrence, or nil.
func (j jobState) occurrence(number int) *occurrence { return j.open.Get(number) }

// taskSet returns the task set of a task in an open occurrence, or nil.
func (j jobState) taskSet(occurrence, step int) *taskSet {
	o := j.occurrence(occurrence)
	if o == nil || step < 0 || step >= len(o.sets) {
		return nil
	}
	return o.sets[step]
}

// has reports whether a task is one of the job's.
func (j jobState) has(t job.Task) bool {
	return t.Occurrence >= 0 && t.Occurrence < j.sub.Occurrences() && t.Step >= 0 && t.Step < len(j.sub.Steps) &&
		t.Index >= 0 && t.Index < j.sub.Steps[t.Step].Count
}

// task returns a task. It is done if its occurrence is over, and not known if that has not been opened.
func (j jobState) task(t job.Task) (x taskState, ok bool) {
	switch o := j.occurrence(t.Occurrence); {
	case !j.has(t):
		return taskState{}, false
	case o != nil:
		return *o.sets[t.Step].tasks.Get(t.Index), true
	default:
		return taskState{phase: done}, t.Occurrence < j.next
	}
}

// withOccurrence returns a copy with an open occurrence.
func (j jobState) withOccurrence(o *occurrence) jobState {
	j.open = j.open.With(o.number, o)
	return j
}

// withTaskSet returns a copy with another state of a task set of an open occurrence.
func (j jobState) withTaskSet(ts taskSet) jobState {
	before := j.occurrence(ts.occurrence)
	after := before.withTaskSet(&ts)
	j.queued -= boolToInt(after.begun) - boolToInt(before.begun)
	return j.withOccurrence(after)
}

// withNext returns a copy in which the next occurrence is open. It may have been opened out of turn.
func (j jobState) withNext(due time.Duration) jobState {
	number := j.next
	j.next++
	switch o := j.occurrence(number); {
	case o == nil:
		j.queued++
		return j.withOccurrence(newOccurrence(j.sub.Steps, number, due))
	case o.unfinished == 0:
		j.open = j.open.Without(number)
	}
	return j
}

// withOutOfTurn returns a copy in which an occurrence is open of which a task has run under a former owner.
func (j jobState) withOutOfTurn(number int, due time.Duration) jobState {
	o := newOccurrence(j.sub.Steps, number, due)
	o.begun = true
	return j.withOccurrence(o)
}

// withOver returns a copy in which an occurrence is over. One that was opened out of turn stays until its turn comes.
func (j jobState) withOver(o *occurrence) jobState {
	j.ended = append(slices.Clip(j.ended), o)
	if o.number < j.next {
		j.open = j.open.Without(o.number)
	}
	return j
}

// progress returns the done tasks and failed runs in the form in which they are stored.
func (j jobState) progress() job.Progress {
	p := job.Progress{Surplus: j.surplusAt}
	for _, o := range j.open.All() {
		for _, ts := range o.sets {
			if ts.done > 0 || ts.failed > 0 {
				p.Steps = append(p.Steps, ts.progress())
			}
		}
	}
	if j.sub.Repeat > 0 {
		p.Next, p.Open = j.next, job.RangesOf(j.openBeforeNext())
	}
	return p
}

// openBeforeNext returns the numbers of the open occurrences, without those that were opened out of turn.
func (j jobState) openBeforeNext() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, o := range j.open.All() {
			if o.number >= j.next || !yield(o.number) {
				return
			}
		}
	}
}

func (ts *taskSet) progress() job.StepProgress {
	s := job.StepProgress{Occurrence: ts.occurrence, Step: ts.step}
	if ts.done > 0 {
		s.Done = make([]byte, (ts.tasks.Len()+7)/8)
	}
	for i, t := range ts.tasks.All() {
		if t.phase == done {
			s.Done[i/8] |= 1 << (i % 8)
		}
		if len(t.failedRuns) > 0 {
			s.Failures = append(s.Failures, job.TaskFailures{Index: i, Runs: t.failedRuns})
		}
	}
	return s
}

// withProgress applies stored progress to the tasks. An earlier version has stored each occurrence of which tasks were done, and
// not how many it has opened.
func (j jobState) withProgress(p job.Progress, due time.Duration) jobState {
	j.surplusAt = p.Surplus
	if j.sub.Repeat > 0 {
		j.next = max(0, min(p.Next, j.sub.Occurrences()))
		for number := range p.OpenBefore(j.next) {
			j.queued++
			j = j.withOccurrence(newOccurrence(j.sub.Steps, number, due))
		}
	}
	for _, s := range p.Steps {
		if !j.has(job.Task{Occurrence: s.Occurrence, Step: s.Step}) {
			continue
		}
		if j.occurrence(s.Occurrence) == nil {
			if s.Occurrence < j.next {
				continue
			}
			j = j.withOutOfTurn(s.Occurrence, due)
		}
		ts := j.taskSet(s.Occurrence, s.Step).withProgress(s, j.sub.Steps[s.Step])
		for _, f := range s.Failures {
			j.mostFailures = max(j.mostFailures, len(f.Runs))
		}
		j.started = true
		j = j.withTaskSet(ts)
	}
	for o := j.occurrence(j.next); o != nil && o.unfinished == 0; o = j.occurrence(j.next) {
		j = j.withNext(due)
	}
	for _, o := range j.open.All() {
		if o.unfinished == 0 && o.number < j.next {
			j.open = j.open.Without(o.number)
		}
	}
	return j
}

// withProgress returns a copy with the stored progress. Long-running tasks are never done, and a gang is done if one of its
// members is.
func (ts taskSet) withProgress(s job.StepProgress, step job.Step) taskSet {
	isDone := func(index int) bool { return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0 }
	gangDone := false
	for index := range ts.tasks.Len() {
		gangDone = gangDone || step.Gang && isDone(index)
	}
	failures := map[int][]uint64{}
	for _, f := range s.Failures {
		failures[f.Index] = f.Runs
	}
	counts := ts
	ts.tasks = ts.tasks.WithEach(func(index int, before *taskState) *taskState {
		x := *before
		if !step.LongRunning && (gangDone || isDone(index)) {
			x = taskState{phase: done}
		}
		if runs, ok := failures[index]; ok {
			x.failedRuns = runs
		}
		if x.phase == before.phase && len(x.failedRuns) == len(before.failedRuns) {
			return before
		}
		counts = counts.withCounts(before, &x)
		return &x
	})
	counts.tasks = ts.tasks
	return counts
}

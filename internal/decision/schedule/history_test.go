package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/model/job"

	"pgregory.net/rapid"
)

func generate(t *rapid.T, serial int) job.Submission {
	sub := job.Submission{ID: job.ID(fmt.Sprintf("%016x", serial+1)), Queue: "q", Spec: "s"}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := job.Step{
			Count:    rapid.IntRange(1, 4).Draw(t, "count"),
			Need:     job.Resources{CPU: int64(rapid.IntRange(100, 3000).Draw(t, "cpu")), Memory: 100},
			Estimate: time.Second,
		}
		if i > 0 && rapid.Bool().Draw(t, "chained") {
			step.After = []int{rapid.IntRange(0, i-1).Draw(t, "after")}
		}
		sub.Steps = append(sub.Steps, step)
	}
	return sub
}

// Guards against lost jobs, tasks that run twice, overfull executors, starts out of order, after a cancellation,
// after a refusal or beyond the attempts, and false outcomes, under lost and late orders, executors that go silent
// or start again, writes that are refused, and owners that are replaced while they are frozen or go on.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "executors"))
		serial := 0
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			w.action(&serial)
			w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.heal()
		w.verify()
	})
}

func (w *world) action(serial *int) {
	id := fmt.Sprintf("x%d", rapid.IntRange(0, len(w.executors)-1).Draw(w.t, "executor"))
	switch rapid.IntRange(0, 13).Draw(w.t, "action") {
	case 0, 1, 2, 3, 4:
		w.submit(w.current(), generate(w.t, *serial))
		*serial++
	case 5:
		if *serial > 0 {
			w.cancel(w.current(), job.ID(fmt.Sprintf("%016x", rapid.IntRange(1, *serial).Draw(w.t, "job"))))
		}
	case 6:
		w.takeOver(false)
	case 7:
		w.current().frozen = w.now + time.Duration(rapid.IntRange(500, 6000).Draw(w.t, "frozen"))*time.Millisecond
		w.takeOver(true)
	case 8:
		if w.executors[id].up {
			w.crash(id)
		}
	case 9:
		w.executors[id].silent = w.now + time.Duration(rapid.IntRange(300, 9000).Draw(w.t, "silent"))*time.Millisecond
	case 10:
		w.lossy = rapid.SampledFrom([]float64{0, 0, 0.3, 0.7}).Draw(w.t, "lossy")
	case 11, 12:
		if *serial > 0 { // the caller asks again
			j := w.jobs[job.ID(fmt.Sprintf("%016x", rapid.IntRange(max(1, *serial-2), *serial).Draw(w.t, "again")))]
			if j.settled == 0 {
				w.submit(w.current(), j.sub)
			}
		}
	case 13:
		w.storeRefuses = rapid.Bool().Draw(w.t, "refuses")
	}
}

// heal ends all trouble and waits until every job must have ended.
func (w *world) heal() {
	w.lossy, w.storeRefuses = 0, false
	for _, x := range w.executors {
		x.silent = 0
	}
	for _, o := range w.owners {
		o.frozen = min(o.frozen, w.now)
	}
	const long = 150 * time.Second // above the retries of the longest generated queue
	w.advance(long)
}

func (w *world) verify() {
	for id, j := range w.jobs {
		look := w.current().state.Status(id)
		complete := true
		for step, x := range j.sub.Steps {
			for index := range x.Count {
				complete = complete && j.done[job.Task{Job: id, Step: step, Index: index}]
			}
		}
		switch {
		case j.accepted && !look.Known:
			w.t.Fatalf("accepted job %s is not known", id)
		case look.State == job.Completed && !complete:
			w.t.Fatalf("job %s is shown as completed", id)
		case look.State == job.Cancelled && !j.asked:
			w.t.Fatalf("job %s is shown as cancelled", id)
		case j.accepted && !look.State.Final():
			w.t.Fatalf("job %s is still %s", id, look.State)
		case j.cancelled != 0 && look.State != job.Cancelled:
			w.t.Fatalf("cancelled job %s is %s", id, look.State)
		}
	}
}

// Guards against the answer that a job has ended while its end is not stored: the next owner would run it again.
func TestCancelOfUnstoredEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.submit(w.current(), job.Submission{
			ID: "0000000000000001", Queue: "q", Spec: "s",
			Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, Estimate: time.Second}},
		})
		w.advance(100 * time.Millisecond)
		w.storeRefuses = true
		w.advance(4 * time.Second)
		w.cancel(w.current(), "0000000000000001")
		w.advance(time.Second)
		if j := w.jobs["0000000000000001"]; j.settled != 0 {
			t.Fatalf("cancellation is answered at %v, before the end of the job is stored", j.settled)
		}
		w.heal()
		w.verify()
	})
}

// Guards against a repeated submission that waits for the end of its job.
func TestRepeatedSubmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		sub := job.Submission{
			ID: "0000000000000001", Queue: "q", Spec: "s",
			Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, Estimate: time.Second}},
		}
		w.submit(w.current(), sub)
		w.advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
		w.jobs[sub.ID].accepted = false
		w.submit(w.current(), sub)
		w.advance(600 * time.Millisecond)
		if j := w.jobs[sub.ID]; !j.accepted && !j.unsure {
			t.Fatalf("repeated submission is not answered after 600 ms")
		}
	})
}

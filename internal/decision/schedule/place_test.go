package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"teaselloft/internal/model/job"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// places runs one job on four executors in two racks and returns the executor of each start.
func places(t *rapid.T, step job.Step) map[string]int {
	w := newWorld(t, 0)
	for i := range 4 {
		id := fmt.Sprintf("x%d", i)
		w.add(id)
		w.executors[id].info.Labels = []string{"a", fmt.Sprintf("r%d", i%2)}
	}
	w.advance(3 * time.Second)
	step.Estimate = 10 * time.Second
	w.submit(w.current(), job.Submission{ID: "0000000000000001", Queue: "q", Spec: "s", Steps: []job.Step{step}})
	on := map[string]int{}
	for range 100 { // a write may be answered late; the shortest task runs 50 ms
		w.advance(10 * time.Millisecond)
		for id, x := range w.executors {
			if n := len(x.runs); n > 0 {
				on[id] = n
			}
		}
		if len(on) > 0 {
			break
		}
	}
	return on
}

// Guards against lasting tasks that keep many instances from moving to another pool, since each has to be emptied first.
func TestLastingTasksShareExecutors(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0)
		for i := range 4 {
			w.add(fmt.Sprintf("x%d", i))
		}
		w.advance(3 * time.Second)
		for i := range 3 {
			id := job.ID(fmt.Sprintf("000000000000000%d", i))
			w.submit(w.current(), job.Submission{ID: id, Queue: "q", Spec: "s", Steps: []job.Step{{
				Count: 2, Need: job.Resources{CPU: 100}, Estimate: time.Minute, LongRunning: true, MaxPerExecutor: 1,
			}}})
			w.advance(time.Second)
		}
		used := 0
		for _, x := range w.current().state.Load().Executors {
			if x.LongRunning > 0 {
				used++
			}
		}
		c.Check(used, qt.Equals, 2)
	})
}

// Guards against tasks that are spread over racks although that makes them slow, and against too many on one executor.
func TestPlacement(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		on := places(t, job.Step{Count: 4, Need: job.Resources{CPU: 2000}, OneRack: true})
		c.Check(on["x0"]+on["x2"] == 4 || on["x1"]+on["x3"] == 4, qt.IsTrue, qt.Commentf("one rack: %v", on))
		on = places(t, job.Step{Count: 4, Need: job.Resources{CPU: 100}, MaxPerExecutor: 1})
		c.Check(on, qt.DeepEquals, map[string]int{"x0": 1, "x1": 1, "x2": 1, "x3": 1}, qt.Commentf("spread"))
		on = places(t, job.Step{Count: 2, Need: job.Resources{CPU: 100}, Rack: "r1"})
		c.Check(on["x1"]+on["x3"], qt.Equals, 2, qt.Commentf("rack of its data: %v", on))
		on = places(t, job.Step{Count: 2, Need: job.Resources{CPU: 100}, Label: "none"})
		c.Check(on, qt.HasLen, 0, qt.Commentf("label that no executor has"))
		on = places(t, job.Step{Count: 4, Need: job.Resources{CPU: 2500}, Gang: true})
		c.Check(on, qt.HasLen, 4, qt.Commentf("gang that fits"))
		on = places(t, job.Step{Count: 5, Need: job.Resources{CPU: 2500}, Gang: true})
		c.Check(on, qt.HasLen, 0, qt.Commentf("gang that does not fit"))
	})
}

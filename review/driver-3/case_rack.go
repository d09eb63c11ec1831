//go:build review

package main

import (
	"fmt"
	"time"
)

// runRack submits work after the only executor of a rack was lost for good. Half of it has its data on that rack and must run on
// others, which become idle.
func runRack(w *world, trouble bool) (bool, error) {
	var far []*executor
	for n := range 9 {
		e, err := w.addExecutor("calendar", "a")
		if err != nil {
			return false, err
		}
		if n >= 8 {
			far = append(far, e) // the racks have four executors each, and r2 the last one
		}
	}
	w.manifest([]string{"calendar"}, route{name: "notices", prefix: "/notices/", pool: "calendar"})
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, e := range far {
			e.lose()
		}
	}
	time.Sleep(8 * time.Second) // the entries of the lost executors have expired
	var accepted []string
	const tasks = 4
	for n := range 10 {
		id := fmt.Sprintf("9%015x", n)
		work := step{"count": tasks, "cpu": 1000, "mem-mb": 64, "estimate-ms": 40000}
		if n%2 == 0 { // half of the submissions
			work["affinity"] = "r2"
		}
		if w.submit(n, "/notices/"+id, map[string]any{"spec": "work=5s", "pipeline-steps": []step{work}}) {
			accepted = append(accepted, id)
		}
	}
	end := time.Now()
	w.record.add("end of the traffic, %d submissions accepted", len(accepted))
	return w.judgeIdle(end, accepted, tasks), nil
}

// judgeIdle watches submissions of a number of tasks, from finish after the end of the traffic on.
func (w *world) judgeIdle(trafficEnd time.Time, accepted []string, tasks int) bool {
	idleSince := map[string]time.Time{}
	broken := false
	for ; time.Since(trafficEnd) < finish+2*idleLimit; time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		if now.Sub(trafficEnd) < finish {
			continue
		}
		for _, id := range accepted {
			n, all := w.runningTasks(id)
			switch {
			case n > 0 || w.doneTasks(id) == tasks || all > 0:
				delete(idleSince, id)
			case idleSince[id].IsZero():
				idleSince[id] = now
			case now.Sub(idleSince[id]) > idleLimit && !broken:
				w.record.add("LOST: submission %s has nothing running for %.1f s, %d of %d tasks are done, and no task runs at all", id, now.Sub(idleSince[id]).Seconds(), w.doneTasks(id), tasks)
				broken = true
			}
		}
	}
	for n, id := range accepted {
		w.state(n, "/notices/"+id)
	}
	return broken
}

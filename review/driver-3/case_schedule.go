//go:build review

package main

import (
	"fmt"
	"time"
)

// Times of the rule LOST in the users' pages.
const (
	finish       = 14 * time.Second // after the end of the traffic, from which a submission must not be idle
	idleLimit    = 3 * time.Second  // for which a submission may have nothing running although it could
	lastingStart = 6 * time.Second  // after its last run in which a lasting task must run again
)

// step is a step of a submission in the users' form.
type step map[string]any

func ordinary(work string) map[string]any {
	return map[string]any{"spec": "work=" + work, "pipeline-steps": []step{
		{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 400},
		{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 400, "after": []int{0}},
	}}
}

// occurrences is the number of times of the schedule: one every ten seconds of the past day.
const (
	occurrences = 8_640
	interval    = 10 * time.Second
)

// runSchedule submits ordinary work, and one schedule whose times are all due already: its beginning lies in the past.
// Without the trouble the same schedule begins now. Other submissions must go on.
func runSchedule(w *world, trouble bool) (bool, error) {
	for range 6 {
		if _, err := w.addExecutor("calendar", "a"); err != nil {
			return false, err
		}
	}
	w.manifest([]string{"calendar"}, route{name: "notices", prefix: "/notices/", pool: "calendar"})
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	lasting := "a000000000000000"
	if !w.submit(0, "/notices/"+lasting, map[string]any{"spec": "lasts", "pipeline-steps": []step{{"count": 2, "cpu": 1000, "mem-mb": 64, "long-running": true}}}) {
		return false, fmt.Errorf("the lasting submission is not accepted")
	}
	if !waitFor(5*time.Second, func() bool { n, _ := w.runningTasks(lasting); return n == 2 }) {
		return false, fmt.Errorf("the lasting tasks do not run")
	}
	var accepted []string
	for n := range 24 {
		id := fmt.Sprintf("b%015x", n)
		if w.submit(n, "/notices/"+id, ordinary("400ms")) {
			accepted = append(accepted, id)
		}
		if n == 16 {
			begin := time.Now()
			if trouble {
				begin = begin.Add(-occurrences * interval)
			}
			w.call(0, "POST", "/notices/c000000000000000", map[string]any{
				"spec": "work=100ms", "repeat-count": occurrences, "interval-ms": interval.Milliseconds(), "start-at-ms": begin.UnixMilli(),
				"pipeline-steps": []step{{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 100}},
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	trafficEnd := time.Now()
	w.record.add("end of the traffic, %d ordinary submissions accepted", len(accepted))
	return w.judgeLost(trafficEnd, lasting, 2, accepted, 3), nil
}

// judgeLost watches lasting tasks and, from finish after the end of the traffic on, submissions of a number of tasks.
func (w *world) judgeLost(trafficEnd time.Time, lasting string, lastingTasks int, accepted []string, tasks int) bool {
	idleSince := map[string]time.Time{}
	lastRun := map[string]time.Time{} // of the lasting tasks
	broken := false
	for ; time.Since(trafficEnd) < finish+3*idleLimit && !broken; time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		_, all := w.runningTasks(lasting)
		free := all*1000*2 < 6*machineCPU // each task has at most a core; under half of the capacity is in use
		for n := range lastingTasks {
			task := fmt.Sprintf("%s.0.0.%d", lasting, n)
			switch idle := now.Sub(lastRun[task]); {
			case lastRun[task].IsZero() || w.runs(task) || !free:
				lastRun[task] = now
			case idle > lastingStart+idleLimit:
				w.record.add("LOST: task %s, which lasts, has no run for %.1f s, %d tasks run in all", task, idle.Seconds(), all)
				broken = true
			}
		}
		if now.Sub(trafficEnd) < finish {
			continue
		}
		for _, id := range accepted {
			n, _ := w.runningTasks(id)
			switch {
			case n > 0 || w.doneTasks(id) == tasks || !free:
				delete(idleSince, id)
			case idleSince[id].IsZero():
				idleSince[id] = now
			case now.Sub(idleSince[id]) > idleLimit:
				w.record.add("LOST: submission %s has nothing running for %.1f s, %d of %d tasks are done, %d tasks run in all", id, now.Sub(idleSince[id]).Seconds(), w.doneTasks(id), tasks, all)
				broken = true
			}
		}
	}
	for n, id := range accepted {
		w.state(n, "/notices/"+id)
	}
	w.state(0, "/notices/"+lasting)
	return broken
}

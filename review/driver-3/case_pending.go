//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times of the rules in the users' pages.
const (
	configApply = 2 * time.Second
	visible     = 3 * time.Second
)

// runPending submits more work to a queue than its pool holds, and then sends the queue to another pool. The submissions that
// have not begun remain those of the queue.
func runPending(w *world, trouble bool) (bool, error) {
	for _, pool := range []string{"calendar", "alerts"} {
		for range 3 {
			if _, err := w.addExecutor(pool, "a"); err != nil {
				return false, err
			}
		}
	}
	pools := []string{"calendar", "alerts"}
	alerts := route{name: "alerts", prefix: "/alerts/", pool: "alerts"}
	w.manifest(pools, route{name: "notices", prefix: "/notices/", pool: "calendar"}, alerts)
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	var accepted []string
	for n := range 40 {
		id := fmt.Sprintf("e%015x", n)
		if w.submit(n, "/notices/"+id, map[string]any{"spec": "work=40s", "pipeline-steps": []step{{"count": 1, "cpu": machineCPU, "mem-mb": 64, "estimate-ms": 40000}}}) {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.manifest(pools, route{name: "notices", prefix: "/notices/", pool: "alerts"}, alerts)
	} else {
		w.manifest(pools, route{name: "notices", prefix: "/notices/", pool: "calendar"}, alerts)
	}
	time.Sleep(configApply + visible + 2*time.Second)
	broken := false
	for n := range daemons {
		begun := map[string]bool{}
		for _, s := range w.allStarts() {
			begun[jobOf(s.task)] = true
		}
		waiting := 0
		for _, id := range accepted {
			if !begun[id] {
				waiting++
			}
		}
		status, text := w.call(n, "GET", "/notices/", nil)
		var answer struct {
			Pending int `json:"pending"`
		}
		if status != 200 || json.Unmarshal(text, &answer) != nil {
			w.record.add("daemon %d gives no number", n+1)
			continue
		}
		w.record.add("daemon %d gives %d as pending; %d accepted submissions have not begun", n+1, answer.Pending, waiting)
		if 2*answer.Pending < waiting {
			w.record.add("MIXED: pending is under half of the submissions that have not begun")
			broken = true
		}
	}
	for n, id := range accepted {
		w.state(n, "/notices/"+id)
	}
	return broken, nil
}

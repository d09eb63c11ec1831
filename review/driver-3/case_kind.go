//go:build review

package main

import (
	"fmt"
	"time"
)

// runKind submits work that requires kind a. Meanwhile six of eight executors crash one at a time and start again under their
// ids, as kind b. No task may start on kind b.
func runKind(w *world, trouble bool) (bool, error) {
	var all []*executor
	for range 8 {
		e, err := w.addExecutor("calendar", "a")
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	w.manifest([]string{"calendar"}, route{name: "notices", prefix: "/notices/", pool: "calendar"})
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			w.submit(n, fmt.Sprintf("/notices/d%015x", n), map[string]any{"spec": "work=400ms", "pipeline-steps": []step{
				{"count": 24, "cpu": 4000, "mem-mb": 64, "estimate-ms": 400, "requirements": "a"},
			}})
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	for _, e := range all[:6] {
		if trouble {
			e.crash()
			time.Sleep(500 * time.Millisecond)
			if err := e.restart("b"); err != nil {
				return false, err
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	<-done
	wrong := 0
	for _, s := range w.allStarts() {
		if s.kind != "a" {
			wrong++
			w.record.add("ROUTE: task %s run %d requires kind a and was started on %s of kind %s at %.3f s", s.task, s.run, s.executor, s.kind, s.at.Sub(w.record.start).Seconds())
		}
	}
	w.record.add("%d starts, %d without the required label", len(w.allStarts()), wrong)
	return wrong > 0, nil
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// runCancel submits a schedule. During a short outage of the store a client asks to cancel it, which is refused, and then submits
// it again. The remaining times must run. Without the outage the cancel is carried out.
func runCancel(w *world, trouble bool) (bool, error) {
	for range 4 {
		if _, err := w.addExecutor("calendar", "a"); err != nil {
			return false, err
		}
	}
	w.manifest([]string{"calendar"}, route{name: "notices", prefix: "/notices/", pool: "calendar"})
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	const times, interval = 5, 3 * time.Second
	id := "f000000000000000"
	begin := time.Now().Add(2 * time.Second)
	body := map[string]any{
		"spec": "work=500ms", "repeat-count": times, "interval-ms": interval.Milliseconds(), "start-at-ms": begin.UnixMilli(),
		"pipeline-steps": []step{{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}},
	}
	if !w.submit(0, "/notices/"+id, body) {
		return false, fmt.Errorf("the schedule is not accepted")
	}
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	if trouble {
		w.record.add("the store answers 503")
		w.gate.Refuse(true)
		time.AfterFunc(time.Second, func() {
			w.gate.Refuse(false)
			w.record.add("the store answers again")
		})
		time.Sleep(100 * time.Millisecond)
	}
	status, _ := w.call(1, http.MethodDelete, "/notices/"+id, nil)
	acknowledged := status >= 200 && status < 300 || status == http.StatusGone
	time.Sleep(1400 * time.Millisecond)
	again, _ := w.call(2, http.MethodPost, "/notices/"+id, body) // the client wants it after all
	time.Sleep(time.Until(begin.Add(times * interval)))
	time.Sleep(finish + idleLimit)
	state := w.state(2, "/notices/"+id)
	done := w.doneTasks(id)
	w.record.add("the cancel was answered %d and the repeated submission %d; %d of %d times have run; the submission is %s", status, again, done, times, state)
	if acknowledged || status == 0 || status == http.StatusGatewayTimeout {
		return false, nil // it may be cancelled
	}
	if done < times && state != "cancelled" {
		w.record.add("LOST: nothing runs although %d times are due and the executors are idle", times-done)
		return true, nil
	}
	return false, nil
}

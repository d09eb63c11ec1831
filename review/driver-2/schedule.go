//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseSchedule: a schedule is handed in whose first occurrences have been due for some hours.
func caseSchedule(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4), route("s", "/s/", "halfmast", 3))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	const id = "00000000000000a9"
	h.submit(h.daemons[0], "/s/"+id, jobBody("1h", map[string]any{"count": 3, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000, "long-running": true}))
	time.Sleep(3 * time.Second)
	if h.trouble {
		const second, hour = int64(1000), int64(3600 * 1000)
		data, _ := json.Marshal(map[string]any{
			"spec": "20ms", "pipeline-steps": []any{map[string]any{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 20}},
			"repeat-count": 24 * 3600, "start-at-ms": time.Now().UnixMilli() - 12*hour, "interval-ms": second,
		})
		h.request(h.daemons[0], http.MethodPost, "/q/00000000000000aa", string(data))
	}
	handed := time.Since(h.began)
	served := 0
	for i, until := 0, time.Now().Add(40*time.Second); time.Now().Before(until); i++ {
		if status, _ := h.request(h.daemons[i%3], http.MethodPost, fmt.Sprintf("/q/%016x", 0xad00+i), jobBody("100ms", map[string]any{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 100})); status == http.StatusOK {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	var broken []string
	ended, begun := map[string]time.Duration{}, map[string]time.Duration{}
	for _, e := range h.snapshot() {
		if strings.HasPrefix(e.Task, id+".") && e.At > handed {
			if e.Kind == "end" {
				ended[e.Task] = e.At
			} else if e.Kind == "start" {
				begun[e.Task] = e.At
			}
		}
	}
	const bound = 9 * time.Second // 6 s after its last run, for 3 s
	for task, at := range ended {
		next := begun[task]
		if next < at {
			next = time.Since(h.began)
		}
		if next-at > bound {
			broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, ended at %.3f s and isn't run until %.3f s", task, at.Seconds(), next.Seconds()))
		}
	}
	h.note("%d submissions were accepted meanwhile", served)
	h.finish(broken)
}

func init() { cases["schedule"] = caseSchedule }

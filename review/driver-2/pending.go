//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// casePending: an executor refuses to start anything for some seconds while its liveness reports are good.
func casePending(h *harness) {
	h.smallPool(12, func(i int) string {
		if i == 0 {
			return "g"
		}
		return "a"
	})
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	sick := h.executors[0]
	const jobs = 10
	if h.trouble {
		sick.mutex.Lock()
		sick.unwell = true
		sick.mutex.Unlock()
		h.note("executor %s answers starts with 503", sick.id)
	}
	for i := range jobs {
		h.submit(h.daemons[i%3], fmt.Sprintf("/q/%016x", 0xc0+i), jobBody("8s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 8000, "requirements": "g"}))
	}
	accepted := time.Since(h.began)
	time.Sleep(5300 * time.Millisecond) // visible_ms + 2 s
	var broken []string
	for _, d := range h.daemons {
		begun := map[string]bool{}
		for _, e := range h.snapshot() {
			if e.Kind == "start" {
				begun[strings.SplitN(e.Task, ".", 2)[0]] = true
			}
		}
		status, answer := h.request(d, http.MethodGet, "/q/", "")
		var n int
		if _, err := fmt.Sscanf(answer, `{"pending":%d}`, &n); status == http.StatusOK && err == nil && 2*n < jobs-len(begun) {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d submissions as pending at %.3f s, and %d that were accepted by %.3f s haven't begun", d.name, n, time.Since(h.began).Seconds(), jobs-len(begun), accepted.Seconds()))
		}
		h.request(d, http.MethodGet, fmt.Sprintf("/q/%016x", 0xc0), "")
	}
	sick.mutex.Lock()
	sick.unwell = false
	sick.mutex.Unlock()
	h.finish(broken)
}

func init() { cases["pending"] = casePending }

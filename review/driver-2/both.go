//go:build review2

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// caseBoth: an executor is lost for good together with the owner of its pool.
func caseBoth(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("s", "/s/", "halfmast", 3))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	const id = "00000000000000a9"
	h.submit(h.daemons[0], "/s/"+id, jobBody("1h", map[string]any{"count": 5, "cpu": 1300, "mem-mb": 256, "estimate-ms": 1000, "long-running": true}))
	time.Sleep(3 * time.Second)
	owner, lost := h.owner("halfmast"), h.executorOf(id)
	at := time.Since(h.began)
	if h.trouble {
		lost.powerOff()
		owner.signal(syscall.SIGKILL)
	}
	time.Sleep(16 * time.Second)
	ended, begun := map[string]bool{}, map[string]time.Duration{}
	for _, e := range h.snapshot() {
		if strings.HasPrefix(e.Task, id+".") && e.Kind == "gone" {
			ended[e.Task] = true
		}
		if strings.HasPrefix(e.Task, id+".") && e.Kind == "start" && ended[e.Task] {
			begun[e.Task] = e.At
		}
	}
	var broken []string
	const bound = 9 * time.Second // 6 s after its last run, for 3 s
	for task := range ended {
		if begun[task] == 0 || begun[task]-at > bound {
			broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, ended at %.3f s and isn't run until %.3f s", task, at.Seconds(), begun[task].Seconds()))
		}
	}
	h.note("%d tasks had to begin again: %v", len(ended), begun)
	h.finish(broken)
}

func init() { cases["both"] = caseBoth }

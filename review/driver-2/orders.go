//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

// caseOrders: an executor loses power and starts again under its id while orders to it wait, up to three times.
func caseOrders(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	for round := range 3 {
		// A long task makes one executor the fullest one, which gets the next tasks.
		long := fmt.Sprintf("%016x", 0xb00+round)
		h.submit(h.daemons[0], "/q/"+long, jobBody("60s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 60000}))
		var fullest *executor
		h.await(5*time.Second, "the long task runs", func() bool { fullest = h.executorOf(long); return fullest != nil })
		time.Sleep(1 * time.Second)
		if h.trouble {
			fullest.powerOff()
		}
		time.Sleep(50 * time.Millisecond)
		h.submit(h.daemons[0], fmt.Sprintf("/q/%016x", 0xb10+round), jobBody("3s", map[string]any{"count": 12, "cpu": 1000, "mem-mb": 256, "estimate-ms": 3000}))
		time.Sleep(1400 * time.Millisecond)
		if h.trouble {
			fullest.powerOn("a")
		}
		time.Sleep(9 * time.Second)
		if len(h.overlaps()) > 0 {
			break
		}
	}
	broken := h.overlaps()
	for i := range broken {
		broken[i] = "TWICE: " + broken[i]
	}
	h.finish(broken)
}

// executorOf returns the executor on which a task of a submission was started last.
func (h *harness) executorOf(id string) *executor {
	var last *executor
	for _, e := range h.snapshot() {
		if e.Kind != "start" || !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		for _, x := range h.executors {
			if x.id == e.Executor {
				last = x
			}
		}
	}
	return last
}

func init() { cases["orders"] = caseOrders }

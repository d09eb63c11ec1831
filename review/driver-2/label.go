//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

// caseLabel: an executor starts again under its id as one of another kind.
func caseLabel(h *harness) {
	h.smallPool(9, func(i int) string {
		if i < 2 {
			return "g"
		}
		return "a"
	})
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	// 24 tasks of 4 cores each need the label g; the two executors have room for 8 at a time.
	h.submit(h.daemons[0], "/q/00000000000000a1", jobBody("2s", map[string]any{"count": 80, "cpu": 4000, "mem-mb": 256, "estimate-ms": 2000, "requirements": "g"}))
	time.Sleep(1 * time.Second)
	if h.trouble {
		for _, kind := range []string{"a", "g", "a"} {
			h.executors[0].crash()
			time.Sleep(1 * time.Second)
			h.executors[0].powerOn(kind)
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(5 * time.Second)
	var broken []string
	for _, e := range h.snapshot() {
		if e.Kind == "start" && strings.HasPrefix(e.Task, "00000000000000a1.") && e.Label != "g" {
			broken = append(broken, fmt.Sprintf("ROUTE: task %s needs the label g and is started at %.3f s on %s, which is of kind %s", e.Task, e.At.Seconds(), e.Executor, e.Label))
		}
	}
	h.finish(broken)
}

func init() { cases["label"] = caseLabel }

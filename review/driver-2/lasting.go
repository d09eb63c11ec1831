//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// caseLasting: large submissions come at once, and a task that lasts fails while they fill the service.
func caseLasting(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4), route("s", "/s/", "halfmast", 3))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	const id = "00000000000000a9"
	h.submit(h.daemons[0], "/s/"+id, jobBody("lasts 6s", map[string]any{"count": 5, "cpu": 2000, "mem-mb": 256, "estimate-ms": 1000, "long-running": true}))
	time.Sleep(5 * time.Second)
	if h.trouble {
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				h.submit(h.daemons[i%3], fmt.Sprintf("/q/%016x", 0xa900+i), jobBody("about 4800ms", map[string]any{"count": 24, "cpu": 880, "mem-mb": 256, "estimate-ms": 4800}))
			})
		}
		wg.Wait()
	}
	task := id + ".0.0.0"
	var ended, begun time.Duration
	h.await(15*time.Second, "a task that lasts has failed", func() bool {
		for _, e := range h.snapshot() {
			if e.Kind == "end" && e.Task == task {
				ended = e.At
			}
		}
		return ended != 0
	})
	time.Sleep(25 * time.Second)
	for _, e := range h.snapshot() {
		if e.Kind == "start" && e.Task == task && e.At > ended && begun == 0 {
			begun = e.At
		}
	}
	h.note("the task ended at %.3f s and began again at %.3f s", ended.Seconds(), begun.Seconds())
	const bound = 9 * time.Second // 6 s after its last run, for 3 s
	if begun == 0 || begun-ended > bound {
		h.finish([]string{fmt.Sprintf("LOST: task %s, which lasts, ended at %.3f s and isn't run again until %.3f s (0: not at all)", task, ended.Seconds(), begun.Seconds())})
	}
	h.finish(nil)
}

// lengthOf returns how long a task runs and how it ends. The spec is a duration, or "fail" or "about" and a duration. Of the
// tasks of a submission that lasts, the first one fails once.
func lengthOf(spec, task string, number uint64) (length time.Duration, how string) {
	length, how = 200*time.Millisecond, "done"
	words := strings.Fields(spec)
	if len(words) == 0 {
		return length, how
	}
	d, err := time.ParseDuration(words[len(words)-1])
	if err != nil {
		return length, how
	}
	switch words[0] {
	case "fail":
		return d, "failed"
	case "about": // between half and one and a half of it
		hash := uint32(2166136261)
		for _, b := range []byte(task) {
			hash = (hash ^ uint32(b)) * 16777619
		}
		return d/2 + d*time.Duration(hash%1000)/1000, "done"
	case "lasts":
		if strings.HasSuffix(task, ".0") && number%10_000 == 1 {
			return d, "failed"
		}
		return time.Hour, "done"
	default:
		return d, "done"
	}
}

func init() { cases["lasting"] = caseLasting }

//go:build review2

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// caseEnds: the owner of a pool is killed while an executor runs many small tasks, which end before the next owner comes.
func caseEnds(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	owner := h.owner("halfmast")
	clients := h.others(owner)
	const jobs, width = 60, 24
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			h.submit(clients[i%2], fmt.Sprintf("/q/%016x", 0xe00+i), jobBody("4500ms", map[string]any{"count": width, "cpu": 11, "mem-mb": 8, "estimate-ms": 4500}))
		})
	}
	wg.Wait()
	h.await(10*time.Second, "all tasks have begun", func() bool {
		n := 0
		for _, e := range h.snapshot() {
			if e.Kind == "start" {
				n++
			}
		}
		return n >= jobs*width
	})
	first := h.snapshot()[0].At
	time.Sleep(first + 4200*time.Millisecond - time.Since(h.began))
	if h.trouble {
		owner.signal(syscall.SIGKILL)
		h.await(15*time.Second, "the pool has another owner", func() bool { o := h.owner("halfmast"); return o != nil && o != owner })
	}
	time.Sleep(12 * time.Second)
	byExecutor := map[string]int{}
	for _, e := range h.snapshot() {
		if e.Kind == "start" {
			byExecutor[e.Executor]++
		}
	}
	h.note("starts by executor: %v", byExecutor)
	broken := h.overlaps()
	n := len(broken)
	for i := range broken {
		broken[i] = "TWICE: " + broken[i]
	}
	if n > 5 {
		broken = append(broken[:5], fmt.Sprintf("TWICE: %d tasks in all", n))
	}
	h.finish(broken)
}

func init() { cases["ends"] = caseEnds }

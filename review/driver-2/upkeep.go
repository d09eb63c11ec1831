//go:build review2

package main

import (
	"fmt"
	"syscall"
	"time"
)

// caseUpkeep: an order to an instance gets no answer and is carried out 5 s later, and the daemon that sent it is killed.
func caseUpkeep(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the fleet has an owner", func() bool { return h.owner("*fleet") != nil })
	time.Sleep(3 * time.Second)
	owner := h.owner("*fleet")
	if h.trouble {
		h.cloud.hold(5300*time.Millisecond, func() { owner.signal(syscall.SIGKILL) })
	}
	h.wave(1, 1, 40)
	time.Sleep(1700 * time.Millisecond)
	// The instance of the first order is no longer the least loaded one.
	h.submit(h.others(owner)[0], "/q/00000000000000ad", jobBody("6s", map[string]any{"count": 8, "cpu": 2000, "mem-mb": 256, "estimate-ms": 6000}))
	h.await(60*time.Second, "the wave is completed", func() bool { return h.cloud.doneCount() == 9 })
	time.Sleep(6 * time.Second)
	var broken []string
	for _, e := range h.snapshot() {
		if e.Kind == "upkeep" && e.Run > 1 {
			broken = append(broken, fmt.Sprintf("LIMIT: the upkeep of %s begins at %.3f s as the %d. at the same time, maximum is 1", e.Executor, e.At.Seconds(), e.Run))
		}
	}
	h.finish(broken)
}

func init() { cases["upkeep"] = caseUpkeep }

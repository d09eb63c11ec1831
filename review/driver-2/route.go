//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseRoute: the channel on which the owner of a pool watches the manifest goes silent, and a queue with advice is added.
func caseRoute(h *harness) {
	h.smallPool(9, allA)
	kept := route("p", "/p/", "halfmast", 4)
	q := route("q", "/q/", "halfmast", 4)
	q["advice"] = map[string]any{"decide-ms": 20, "per-worker-ms": 0, "valid-ms": ticketValid.Milliseconds()}
	h.publish(1, []string{"halfmast"}, kept)
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	const id = "00000000000000f1"
	h.adviser.jobs = []string{id}
	owner := h.owner("halfmast")
	if h.trouble {
		owner.gate.silence()
		h.note("the channel on which %s watches the manifest goes silent", owner.name)
	}
	h.publish(3, []string{"halfmast"}, kept, q)
	asked := h.others(owner)[0]
	h.submit(asked, "/q/"+id, jobBody("1s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000}))
	accepted := time.Since(h.began)
	time.Sleep(finish + 4*time.Second) // the rule asks finish_s after the end of the traffic, for 3 s
	h.request(asked, http.MethodGet, "/q/"+id, "")
	begun := false
	for _, e := range h.snapshot() {
		begun = begun || e.Kind == "start" && strings.HasPrefix(e.Task, id+".")
	}
	if begun {
		h.finish(nil)
	}
	h.finish([]string{fmt.Sprintf("LOST: the submission was accepted at %.3f s, and until %.3f s nothing of it has run while 9 executors are idle", accepted.Seconds(), time.Since(h.began).Seconds())})
}

func init() { cases["route"] = caseRoute }

//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseRack: many submissions want the same rack, and one more comes that wants it.
func caseRack(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(2 * time.Second)
	if h.trouble {
		for i := range 8 {
			h.submit(h.daemons[i%3], fmt.Sprintf("/q/%016x", 0xac00+i), jobBody("45s", map[string]any{"count": 8, "cpu": 1000, "mem-mb": 256, "estimate-ms": 45000, "affinity": "r0"}))
		}
	}
	const id = "00000000000000ac"
	h.submit(h.daemons[0], "/q/"+id, jobBody("2s", map[string]any{"count": 1, "cpu": 1000, "mem-mb": 256, "estimate-ms": 40000, "affinity": "r0"}))
	accepted := time.Since(h.began)
	time.Sleep(finish + 4*time.Second)
	h.request(h.daemons[0], http.MethodGet, "/q/"+id, "")
	begun := false
	for _, e := range h.snapshot() {
		begun = begun || e.Kind == "start" && strings.HasPrefix(e.Task, id+".")
	}
	if begun {
		h.finish(nil)
	}
	h.finish([]string{fmt.Sprintf("LOST: the submission was accepted at %.3f s, and until %.3f s nothing of it has run, while five of nine executors are idle", accepted.Seconds(), time.Since(h.began).Seconds())})
}

func init() { cases["rack"] = caseRack }

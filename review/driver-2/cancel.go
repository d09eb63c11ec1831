//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseCancel: the store turns the owner of a pool away and takes its keys at once.
func caseCancel(h *harness) {
	h.smallPool(9, allA)
	h.publish(1, []string{"halfmast"}, route("q", "/q/", "halfmast", 4))
	h.startDaemons(3)
	h.await(10*time.Second, "the pool has an owner", func() bool { return h.owner("halfmast") != nil })
	time.Sleep(3 * time.Second)
	old := h.owner("halfmast")
	other := h.others(old)[0]
	if h.trouble {
		old.gate.setCut(true)
		h.store.Remove("teaselloft/own/member/" + old.name)
		h.note("the store turns %s away and has taken its keys", old.name)
	}
	ready, _ := get("http://" + old.ready + "/readyz")
	h.note("%s answers the readiness check with %d", old.name, ready)
	type cancelled struct {
		id string
		at time.Duration
	}
	var acked []cancelled
	if h.trouble {
		h.await(10*time.Second, "the pool has another owner", func() bool { return h.owner("halfmast") != old })
	}
	for i, until := 0, time.Now().Add(2*time.Second); time.Now().Before(until); i++ {
		id := fmt.Sprintf("%016x", 0xd00+i)
		status, _ := h.request(other, http.MethodPost, "/q/"+id, jobBody("7s", map[string]any{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 7000}, map[string]any{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 7000, "after": []int{0}}))
		if status == http.StatusOK {
			if status, _ := h.request(old, http.MethodDelete, "/q/"+id, ""); status == http.StatusOK || status == http.StatusGone {
				acked = append(acked, cancelled{id: id, at: time.Since(h.began)})
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	old.gate.setCut(false)
	h.note("the store serves %s again", old.name)
	calm := time.Since(h.began) + contact // from then on all daemons are in touch
	time.Sleep(9 * time.Second)
	var broken []string
	for _, c := range acked {
		for _, e := range h.snapshot() {
			if strings.HasPrefix(e.Task, c.id+".0.1.") && e.Kind == "start" && e.At > c.at+cancelBound && e.At > calm {
				broken = append(broken, fmt.Sprintf("UNASKED: the cancelling of %s was acknowledged at %.3f s, and its task %s is started at %.3f s; all daemons are in touch from %.3f s on", c.id, c.at.Seconds(), e.Task, e.At.Seconds(), calm.Seconds()))
			}
		}
	}
	h.note("%d cancels were acknowledged", len(acked))
	h.finish(broken)
}

func init() { cases["cancel"] = caseCancel }

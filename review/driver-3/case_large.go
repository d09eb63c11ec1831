//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The large submissions: the largest that the daemons accept by their steps and tasks, in bodies of an eighth of the size limit.
const (
	largeSteps   = 256 // each after all earlier ones
	largeTasks   = 16  // of each step
	largeClients = 3   // of each pool
	largeCount   = 450 // to each pool
	largeTime    = 75 * time.Second
)

// Limits of the rule on faults: so many ends of so many processes.
const (
	faultEnds      = 3
	faultProcesses = 2
)

func large() map[string]any {
	var steps []step
	for i := range largeSteps {
		after := make([]int, i)
		for n := range after {
			after[n] = n
		}
		steps = append(steps, step{"count": largeTasks, "cpu": 2 * machineCPU, "mem-mb": 64, "estimate-ms": 1000, "after": after})
	}
	return map[string]any{"spec": "work=1s", "pipeline-steps": steps}
}

// runLarge submits ordinary work, and many large submissions that can't begin, to two pools, whose owners are different daemons.
// The platform kills a daemon whose memory exceeds the limit and starts it again.
func runLarge(w *world, trouble bool) (bool, error) {
	pools := []string{"calendar", "alerts"}
	var routes []route
	for _, pool := range pools {
		for range 4 {
			if _, err := w.addExecutor(pool, "a"); err != nil {
				return false, err
			}
		}
		routes = append(routes, route{name: pool, prefix: "/" + pool + "/", pool: pool})
	}
	w.manifest(pools, routes...)
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	begin := time.Now()
	var clients sync.WaitGroup
	body := large()
	for p, pool := range pools {
		clients.Go(func() {
			for n := 0; time.Since(begin) < largeTime && !w.isFaulty(); n++ {
				w.call(n, http.MethodPost, fmt.Sprintf("/%s/b%07x%08x", pool, p, n), ordinary("400ms"))
				time.Sleep(time.Second)
			}
		})
		if !trouble {
			continue
		}
		for c := range largeClients {
			clients.Go(func() {
				for n := range largeCount / largeClients {
					if time.Since(begin) > largeTime || w.isFaulty() {
						return
					}
					w.submit(c+n, fmt.Sprintf("/%s/c%03x%04x%08x", pool, p, c, n), body)
				}
			})
		}
	}
	clients.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.add("kills of each daemon for its memory: %v", w.kills)
	return isFaulty(w.kills), nil
}

func (w *world) isFaulty() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return isFaulty(w.kills)
}

// isFaulty reports whether enough processes have ended often enough.
func isFaulty(kills [daemons]int) bool {
	n := 0
	for _, k := range kills {
		if k >= faultEnds {
			n++
		}
	}
	return n >= faultProcesses
}

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Names of the stand-in deployment.
const (
	pool       = "flags"
	otherPool  = "notices"
	prefix     = "/orders/"
	workerCPU  = 16000
	applyTime  = 2 * time.Second // config-apply-ms
	lossAfter  = 6 * time.Second // a task that lasts is restarted by then
	lossPeriod = 3 * time.Second // for which a task has to wait without cause
)

// submissionID returns the id of the n-th submission.
func submissionID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// startSmall starts a deployment with one pool of n workers and three daemons.
func startSmall(ctx context.Context, s *site, n int) ([]*worker, error) {
	var workers []*worker
	for i := range n {
		w, err := s.addWorker(pool, "a", fmt.Sprintf("r%d", i+1), workerCPU)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	s.putConfig(1, []route{{"r-orders", prefix, pool}}, []string{pool})
	return workers, s.startAll(ctx, 3)
}

// waitUntil waits until the condition holds.
func waitUntil(ctx context.Context, limit time.Duration, condition func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		if condition() {
			return true
		}
		_ = sleep(ctx, 20*time.Millisecond)
	}
	return condition()
}

// count returns the number of events of a kind.
func (s *site) count(match func(event) bool) int {
	n := 0
	for _, e := range s.seen() {
		if match(e) {
			n++
		}
	}
	return n
}

// isStart returns a function that reports whether an event is the start of a task of a submission.
func isStart(id string) func(event) bool {
	return func(e event) bool { return e.what == "start" && strings.HasPrefix(e.task, id+".") }
}

// doubleRuns returns the violations of rule TWICE: a start while another run of the task is active on a worker that is
// up, and a start after a run has ended as done if that end was noted and the worker's lease did not lapse between the two.
func (s *site) doubleRuns() []string {
	type runID struct {
		worker, task string
		run          int64
	}
	events := s.seen()
	noted := map[runID]bool{}
	ended := map[runID]time.Time{}
	lapsed := map[string]time.Time{} // by worker: the last time
	for _, e := range events {
		id := runID{e.worker, e.task, e.run}
		switch {
		case e.what == "lapse":
			lapsed[e.worker] = e.at
		case e.what == "end":
			ended[id] = e.at
		case e.what == "noted" && e.how == "done":
			noted[id] = !lapsed[e.worker].After(ended[id])
		}
	}
	active := map[string]map[runID]event{} // by task
	done := map[string]event{}             // by task: the first end as done that was noted
	var violations []string
	for _, e := range events {
		id := runID{e.worker, e.task, e.run}
		switch e.what {
		case "start":
			for _, other := range active[e.task] {
				violations = append(violations, fmt.Sprintf("TWICE: run %d of task %s started on %s (%s) while run %d was active on %s (%s) since %v before",
					e.run, e.task, e.worker, e.pool, other.run, other.worker, other.pool, e.at.Sub(other.at).Round(time.Millisecond)))
			}
			if d, ok := done[e.task]; ok {
				violations = append(violations, fmt.Sprintf("TWICE: run %d of task %s started on %s (%s) %v after run %d had ended as done on %s (%s), which was noted",
					e.run, e.task, e.worker, e.pool, e.at.Sub(d.at).Round(time.Millisecond), d.run, d.worker, d.pool))
			}
			if active[e.task] == nil {
				active[e.task] = map[runID]event{}
			}
			active[e.task][id] = e
		case "end":
			delete(active[e.task], id)
			if _, ok := done[e.task]; !ok && e.how == "done" && noted[id] {
				done[e.task] = e
			}
		case "crash":
			for _, runs := range active {
				for other := range runs {
					if other.worker == e.worker {
						delete(runs, other)
					}
				}
			}
		}
	}
	return violations
}

// mostActive returns the largest number of tasks that the workers run at a time during a period.
func mostActive(ctx context.Context, workers []*worker, period time.Duration) int {
	most := 0
	for from := time.Now(); time.Since(from) < period && ctx.Err() == nil; {
		active := 0
		for _, w := range workers {
			active += len(w.active())
		}
		most = max(most, active)
		_ = sleep(ctx, 20*time.Millisecond)
	}
	return most
}

// playLasting: a task that lasts ends as done by itself. It has to be started again.
func playLasting(ctx context.Context, s *site, trouble bool) ([]string, error) {
	workers, err := startSmall(ctx, s, 3)
	if err != nil {
		return nil, err
	}
	id := submissionID(1)
	body := submission(spec{{Lasting: true}}, step{"count": 3, "cpu": 2000, "mem-mb": 512, "estimate-ms": 700, "long-running": true, "anti-affinity": 1})
	if err := s.submit(ctx, prefix+id, body); err != nil {
		return nil, err
	}
	if !waitUntil(ctx, 10*time.Second, func() bool { return s.count(isStart(id)) == 3 }) {
		return nil, errors.New("the tasks that last have not started")
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		for _, w := range workers {
			for _, task := range w.active() {
				s.rec.line("disruption: task %s ends as done by itself", task)
				w.endByItself(task, "done")
			}
			_ = sleep(ctx, time.Second)
		}
	}
	_ = sleep(ctx, lossAfter+lossPeriod+2*time.Second)
	s.call(ctx, 1, http.MethodGet, prefix+id, nil)
	return s.idleTasks(id, workers), nil
}

// playRoute: a manifest replaces a route by one with the same prefix and another service. The client then repeats
// submissions that were accepted seconds before.
func playRoute(ctx context.Context, s *site, trouble bool) ([]string, error) {
	for i := range 3 {
		for _, p := range []string{pool, otherPool} {
			if _, err := s.addWorker(p, "a", fmt.Sprintf("r%d", i+1), workerCPU); err != nil {
				return nil, err
			}
		}
	}
	services := []string{pool, otherPool}
	s.putConfig(1, []route{{"r-orders", prefix, pool}, {"r-notices", "/notices/", otherPool}}, services)
	if err := s.startAll(ctx, 3); err != nil {
		return nil, err
	}
	short := submission(spec{{Length: time.Second}}, step{"count": 3, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000})
	long := submission(spec{{Length: 12 * time.Second}}, step{"count": 3, "cpu": 1000, "mem-mb": 64, "estimate-ms": 12000})
	for n, body := range [][]byte{short, long} {
		if err := s.submit(ctx, prefix+submissionID(n+1), body); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		s.rec.line("disruption: the manifest changes")
		s.putConfig(4, []route{{"r-orders-2", prefix, otherPool}, {"r-notices", "/notices/", otherPool}}, services)
	}
	if err := sleep(ctx, applyTime+500*time.Millisecond); err != nil {
		return nil, err
	}
	for n, body := range [][]byte{short, long} {
		s.call(ctx, n+1, http.MethodPost, prefix+submissionID(n+1), body)
	}
	_ = sleep(ctx, 14*time.Second)
	for n := range 2 {
		s.call(ctx, 0, http.MethodGet, prefix+submissionID(n+1), nil)
	}
	return s.doubleRuns(), nil
}

// playEnds: the store is silent for 4.5 s while short tasks run, so that a worker lists more than 500 ends.
func playEnds(ctx context.Context, s *site, trouble bool) ([]string, error) {
	if _, err := startSmall(ctx, s, 2); err != nil {
		return nil, err
	}
	const submissions, tasks = 40, 40
	body := submission(spec{{Length: 200 * time.Millisecond}}, step{"count": tasks, "cpu": 250, "mem-mb": 64, "estimate-ms": 200})
	accepted := make(chan error, submissions)
	for n := range submissions {
		go func() { accepted <- s.submit(ctx, prefix+submissionID(n+1), body) }()
	}
	for range submissions {
		if err := <-accepted; err != nil {
			return nil, err
		}
	}
	if trouble {
		s.rec.line("disruption: the store is silent")
		s.store.goSilent()
	}
	_ = sleep(ctx, 4500*time.Millisecond)
	if trouble {
		s.store.answerAgain()
		s.rec.line("the store answers again")
	}
	_ = sleep(ctx, 15*time.Second)
	for n := range submissions {
		s.call(ctx, n%3, http.MethodGet, prefix+submissionID(n+1), nil)
	}
	return s.doubleRuns(), nil
}

// playGang: a worker is cut off while a task of a gang works on it, and crashes behind the cut after the gang has ended.
func playGang(ctx context.Context, s *site, trouble bool) ([]string, error) {
	workers, err := startSmall(ctx, s, 6)
	if err != nil {
		return nil, err
	}
	id := submissionID(1)
	body := submission(spec{{Length: 1500 * time.Millisecond, Gang: 2}, {Length: time.Second}},
		step{"count": 2, "cpu": 2000, "mem-mb": 64, "estimate-ms": 1500, "gang": true, "anti-affinity": 1},
		step{"count": 1, "cpu": 2000, "mem-mb": 64, "estimate-ms": 1000, "after": []int{0}})
	if err := s.submit(ctx, prefix+id, body); err != nil {
		return nil, err
	}
	first, second := id+".0.0.", id+".0.1."
	if !waitUntil(ctx, 10*time.Second, func() bool {
		return s.count(func(e event) bool { return e.what == "start" && strings.HasPrefix(e.task, first) }) == 2
	}) {
		return nil, errors.New("the gang has not started")
	}
	if err := sleep(ctx, 400*time.Millisecond); err != nil {
		return nil, err
	}
	if trouble {
		var victim *worker
		for _, w := range workers {
			if len(w.active()) > 0 {
				victim = w
			}
		}
		s.rec.line("disruption: worker %s is cut off", victim.id)
		victim.setCut(true)
		_ = sleep(ctx, 2*time.Second)
		victim.crash()
		_ = sleep(ctx, time.Second)
		if err := victim.start(); err != nil {
			return nil, err
		}
		_ = sleep(ctx, time.Second)
		victim.setCut(false)
		s.rec.line("the cut of worker %s ends", victim.id)
	}
	const finish = 14 * time.Second
	_ = sleep(ctx, finish)
	status, state := s.call(ctx, 1, http.MethodGet, prefix+id, nil)
	from := time.Now()
	active := mostActive(ctx, workers, lossPeriod+time.Second)
	done := s.count(func(e event) bool {
		return e.what == "noted" && e.how == "done" && strings.HasPrefix(e.task, first)
	})
	started := s.count(func(e event) bool { return e.what == "start" && strings.HasPrefix(e.task, second) })
	if done > 0 && started == 0 && active == 0 {
		return []string{fmt.Sprintf("LOST: the gang %s* ended as done, which was noted %d times, and its submission has nothing running for %v more; no worker runs anything and the next step has not started; shown as %d %s",
			first, done, time.Since(from).Round(time.Millisecond), status, strings.TrimSpace(state))}, nil
	}
	return nil, nil
}

// idleTasks returns the violations of rule LOST for a submission whose tasks last: a task has no run for lossPeriod, from
// lossAfter after its last one, though the workers have room.
func (s *site) idleTasks(id string, workers []*worker) []string {
	last := map[string]event{}
	for _, e := range s.seen() {
		if strings.HasPrefix(e.task, id+".") && (e.what == "start" || e.what == "end") {
			last[e.task] = e
		}
	}
	var violations []string
	for _, task := range slices.Sorted(maps.Keys(last)) {
		e := last[task]
		if idle := time.Since(e.at); e.what == "end" && idle > lossAfter+lossPeriod {
			active := 0
			for _, w := range workers {
				active += len(w.active())
			}
			violations = append(violations, fmt.Sprintf("LOST: task %s, which lasts, ended as %s and has had no run for %v since; the %d workers of %d millicores run %d tasks",
				task, e.how, idle.Round(time.Millisecond), len(workers), workerCPU, active))
		}
	}
	return violations
}

// Traffic of playPoison.
const (
	poisonShare   = 0.03                   // of the small submissions
	smallInterval = 20 * time.Millisecond  // between two small submissions
	largeInterval = 500 * time.Millisecond // between two large submissions
	slowEvery     = 5                      // one large submission in so many has a slow task: 1 of 40 tasks, below the tail of 0.03
	trafficLength = 60 * time.Second
	finishTime    = 14 * time.Second // finish_s
)

// playPoison: a share of the small submissions can never be done, since they request more memory than any machine has.
// A few tasks take longer than estimated, as in the site file.
func playPoison(ctx context.Context, s *site, trouble bool) ([]string, error) {
	workers, err := startSmall(ctx, s, 4)
	if err != nil {
		return nil, err
	}
	small := func(memory int) []byte {
		part := step{"count": 2, "cpu": 500, "mem-mb": memory, "estimate-ms": 200}
		return submission(spec{{Length: 200 * time.Millisecond}, {Length: 200 * time.Millisecond}}, part, part)
	}
	large := func(slow bool) []byte {
		return submission(spec{{Length: 300 * time.Millisecond, Slow: slow}, {Length: 300 * time.Millisecond}},
			step{"count": 4, "cpu": 1000, "mem-mb": 64, "estimate-ms": 300},
			step{"count": 4, "cpu": 1000, "mem-mb": 64, "estimate-ms": 300, "after": []int{0}})
	}
	var mutex sync.Mutex
	var wg sync.WaitGroup
	accepted, poisoned := map[string]bool{}, 0 // accepted submissions that can be done
	post := func(n int, body []byte, poison bool) {
		wg.Go(func() {
			id := submissionID(n)
			if status, _ := s.call(ctx, n%3, http.MethodPost, prefix+id, body); status != http.StatusOK {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			if poison {
				poisoned++
			} else {
				accepted[id] = true
			}
		})
	}
	const firstLarge = 0x8000
	nextLarge, larges, debt := time.Now(), 0, 0.0
	for from, n := time.Now(), 1; time.Since(from) < trafficLength && ctx.Err() == nil; n++ {
		debt += poisonShare
		poison := trouble && debt >= 1
		if debt >= 1 {
			debt--
		}
		memory := 64
		if poison {
			memory = 2 * workerMemory
		}
		post(n, small(memory), poison)
		if time.Now().After(nextLarge) {
			post(firstLarge+larges, large(larges%slowEvery == 0), false)
			larges++
			nextLarge = nextLarge.Add(largeInterval)
		}
		_ = sleep(ctx, smallInterval)
	}
	wg.Wait()
	s.rec.line("traffic ends: %d submissions accepted that can be done, %d that can't", len(accepted), poisoned)
	_ = sleep(ctx, finishTime)
	var violations []string
	for id := range accepted {
		if _, state := s.call(ctx, 0, http.MethodGet, prefix+id, nil); !strings.Contains(state, `"completed"`) {
			violations = append(violations, id)
		}
	}
	active := mostActive(ctx, workers, lossPeriod+time.Second)
	half := int64(len(workers)) * workerCPU / 2
	if int64(active)*1000 >= half { // no task of these submissions requests more than 1000 millicores
		s.rec.line("the pool is half full, so the wait is not judged: %d tasks run", active)
		return nil, nil
	}
	for i, id := range violations {
		last := event{}
		for _, e := range s.seen() {
			if strings.HasPrefix(e.task, id+".") && (e.what == "start" || e.what == "end") {
				last = e
			}
		}
		idle := time.Since(last.at)
		if last.what == "start" || idle < lossPeriod {
			violations[i] = ""
			continue
		}
		violations[i] = fmt.Sprintf("LOST: submission %s was accepted, and has had nothing running for %v since the end of %s as %s, though its next step's turn has come; %d workers of %d millicores run at most %d tasks meanwhile",
			id, idle.Round(time.Millisecond), last.task, last.how, len(workers), workerCPU, active)
	}
	violations = slices.DeleteFunc(violations, func(v string) bool { return v == "" })
	slices.Sort(violations)
	return violations, nil
}

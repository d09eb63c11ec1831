package schedule_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"pgregory.net/rapid"
)

// pool is the pool of all generated histories.
const pool = "calendar"

// world is a pool with its executors, its store and its owners, on a virtual clock.
type world struct {
	t         *rapid.T
	now       time.Duration
	events    []event
	serial    int
	executors map[string]*executor
	records   map[string][]byte
	epoch     uint64
	owners    []*owner
	config    *site.Config
	jobs      map[job.ID]*submitted
	refuses   bool    // the store refuses writes
	lossy     float64 // share of orders that get no answer
	noted     map[job.Task]bool
	failures  map[job.Task]map[uint64]bool
	starts    int
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type submitted struct {
	sub       job.Submission
	accepted  bool
	attempts  int // to hand it in
	refused   int // of them, that were refused as not run
	unsure    bool
	cancelled time.Duration // when the cancellation was acknowledged
	settled   time.Duration // when a cancellation was answered for good, be it that the job had ended
	asked     bool
	done      map[job.Task]bool
}

type executor struct {
	info    site.Executor
	up      bool
	began   time.Duration
	fence   uint64
	expires int64
	runs    map[job.Task]run
	ends    []port.EndedRun
	number  uint64
	highest map[job.Task]uint64
	silent  time.Duration // answers nobody until then
}

type run struct {
	number uint64
	ends   time.Duration
	how    job.Outcome
}

type owner struct {
	state  schedule.State
	alive  bool
	frozen time.Duration
	queue  []schedule.Message
}

func newWorld(t *rapid.T, executors int) *world {
	w := &world{
		t: t, now: time.Second, executors: map[string]*executor{}, records: map[string][]byte{}, jobs: map[job.ID]*submitted{},
		noted: map[job.Task]bool{}, failures: map[job.Task]map[uint64]bool{},
		config: &site.Config{
			Version: 1, Pools: []site.Pool{{Name: pool}},
			Queues: []site.Queue{{Name: "q", Pool: pool, Attempts: 3, Stretch: 2, Target: time.Second}},
		},
	}
	for i := range executors {
		w.add(fmt.Sprintf("x%d", i))
	}
	w.takeOver(false)
	return w
}

func (w *world) add(id string) {
	w.executors[id] = &executor{
		info: site.Executor{
			ID: id, Address: id, Pool: pool, Labels: []string{"a", "r" + id}, Capacity: job.Resources{CPU: 4000, Memory: 4000},
			Born: int64(w.now / time.Millisecond),
		},
		up: true, began: w.now, runs: map[job.Task]run{}, highest: map[job.Task]uint64{},
	}
}

func (w *world) at(after time.Duration, do func()) {
	w.serial++
	w.events = append(w.events, event{at: w.now + after, serial: w.serial, do: do})
}

// advance plays everything that happens until a time has passed.
func (w *world) advance(length time.Duration) {
	until := w.now + length
	for {
		next := -1
		for i, e := range w.events {
			if e.at <= until && (next < 0 || e.at < w.events[next].at || e.at == w.events[next].at && e.serial < w.events[next].serial) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = until
}

func (w *world) listed() []site.Executor {
	var all []site.Executor
	for _, id := range slices.Sorted(maps.Keys(w.executors)) {
		if x := w.executors[id]; x.up {
			all = append(all, x.info)
		}
	}
	return all
}

// takeOver makes a new owner; the former one goes on for as long as nobody tells it.
func (w *world) takeOver(keep bool) {
	for _, o := range w.owners {
		o.alive = o.alive && keep
	}
	w.epoch++
	var stored []schedule.Stored
	for _, key := range slices.Sorted(maps.Keys(w.records)) {
		id, ok := strings.CutPrefix(key, job.PrefixJob+pool+"/")
		if !ok {
			continue
		}
		r, err := job.Decode[job.Record](w.records[key])
		if err != nil {
			w.t.Fatalf("record of %s: %v", id, err)
		}
		x := schedule.Stored{ID: job.ID(id), Record: r}
		if data, ok := w.records[job.PrefixProgress+pool+"/"+id]; ok {
			if x.Progress, err = job.Decode[job.Progress](data); err != nil {
				w.t.Fatalf("progress of %s: %v", id, err)
			}
		}
		stored = append(stored, x)
	}
	o := &owner{alive: true}
	w.owners = append(w.owners, o)
	s := schedule.New(pool, w.epoch, schedule.DefaultPolicy(6*time.Second), w.now, w.unix())
	state, effects := schedule.Recover(s, w.config, stored, w.listed())
	o.state = state
	w.perform(o, effects)
	w.tick(o)
}

func (w *world) unix() int64 { return 1_700_000_000_000 + w.now.Milliseconds() }

func (w *world) tick(o *owner) {
	w.at(50*time.Millisecond, func() {
		if !o.alive {
			return
		}
		w.tell(o, schedule.Reported{Now: w.now, Executors: w.listed()})
		w.tell(o, schedule.Tick{Now: w.now, Unix: w.unix()})
		w.tick(o)
	})
}

// tell hands a message to an owner, or keeps it until the owner thaws.
func (w *world) tell(o *owner, m schedule.Message) {
	if !o.alive {
		return
	}
	if o.frozen > w.now {
		o.queue = append(o.queue, m)
		if len(o.queue) == 1 {
			w.at(o.frozen-w.now, func() {
				queue := o.queue
				o.queue = nil
				for _, m := range queue {
					w.tell(o, m)
				}
			})
		}
		return
	}
	for _, m := range []schedule.Message{m, schedule.Pump{Now: w.now}} {
		state, effects := schedule.Step(o.state, m)
		o.state = state
		w.perform(o, effects)
	}
}

func (w *world) perform(o *owner, effects []schedule.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case schedule.Commit:
			w.at(5*time.Millisecond, func() { w.commit(o, e) })
		case schedule.StartRun:
			w.order(o, schedule.KindStart, e.Executor, e.Start.Task, e.Start.Run, func(x *executor) error { return w.start(x, e.Start) })
		case schedule.StopRun:
			w.order(o, schedule.KindStop, e.Executor, e.Stop.Task, e.Stop.Run, func(x *executor) error { return w.stop(x, e.Stop) })
		case schedule.PaceRun:
		case schedule.HoldRuns:
			w.at(e.After+2*time.Millisecond, func() { w.hold(o, e) })
		case schedule.Answer:
			w.answered(e)
		case schedule.Superseded:
			o.alive = false
		case schedule.Note:
			w.t.Logf("%v epoch %d: %s %v", w.now, o.state.Epoch, e.Event, e.Attrs)
		case schedule.Connect, schedule.Disconnect, schedule.Advise:
		}
	}
}

func (w *world) commit(o *owner, c schedule.Commit) {
	if !o.alive {
		return
	}
	if o.state.Epoch != w.epoch {
		o.alive = false // the chain of writes goes on under another owner
		return
	}
	if w.refuses {
		w.tell(o, schedule.Committed{Now: w.now, Number: c.Number, Err: port.ErrRefused})
		return
	}
	for _, x := range c.Writes {
		w.records[x.Key] = x.Value
	}
	for _, key := range c.Removes {
		delete(w.records, key)
	}
	delay := 5 * time.Millisecond
	if rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
		delay = 400 * time.Millisecond // the answer was lost; a repetition finds the write done
		w.at(5*time.Millisecond, func() { w.tell(o, schedule.Stalled{Now: w.now, Number: c.Number}) })
	}
	w.at(delay, func() { w.tell(o, schedule.Committed{Now: w.now, Number: c.Number}) })
}

// order delivers an order: at once, or late and without an answer, or never.
func (w *world) order(o *owner, kind schedule.Kind, id string, task job.Task, number uint64, do func(*executor) error) {
	x, born := w.executors[id], int64(0)
	if x != nil {
		born = x.info.Born
	}
	same := func() bool { return x != nil && w.executors[id] == x && x.up && x.info.Born == born }
	reply := func(after time.Duration, err error) {
		w.at(after, func() {
			w.tell(o, schedule.Ordered{Executor: id, Kind: kind, Task: task, Run: number, Now: w.now, Err: err})
		})
	}
	unsure := fmt.Errorf("%w: no answer", port.ErrUnknownOutcome)
	if rapid.Float64Range(0, 1).Draw(w.t, "loss") < w.lossy {
		late := time.Duration(rapid.IntRange(0, 12000).Draw(w.t, "late")) * time.Millisecond
		w.at(late, func() {
			if same() {
				_ = do(x)
			}
		})
		reply(600*time.Millisecond, unsure)
		return
	}
	w.at(time.Millisecond, func() {
		if !same() || x.silent > w.now {
			reply(600*time.Millisecond, unsure)
			return
		}
		reply(time.Millisecond, do(x))
	})
}

func (x *executor) clock(now time.Duration) int64 {
	return int64(float64((now - x.began).Milliseconds()) * 0.985) // within the 2% by which a clock may be slow
}

// expire ends what has lost its lease or is done.
func (w *world) expire(x *executor) {
	if !x.up {
		return
	}
	lapsed := x.clock(w.now) > x.expires
	for _, task := range slices.SortedFunc(maps.Keys(x.runs), func(a, b job.Task) int { return strings.Compare(a.String(), b.String()) }) {
		r := x.runs[task]
		switch {
		case r.ends <= w.now:
			w.end(x, task, r.how)
		case lapsed:
			w.end(x, task, job.OutcomeLeaseExpired)
		}
	}
}

func (w *world) end(x *executor, task job.Task, how job.Outcome) {
	r := x.runs[task]
	delete(x.runs, task)
	x.number++
	x.highest[task] = max(x.highest[task], r.number)
	x.ends = append(x.ends, port.EndedRun{Number: x.number, Task: task, Run: r.number, Outcome: how})
	w.t.Logf("%v %s ends %v run %d: %v", w.now, x.info.ID, task, r.number, how)
	if how == job.OutcomeDone {
		w.jobs[task.Job].done[task] = true
	}
}

func (w *world) start(x *executor, s port.Start) error {
	w.expire(x)
	switch {
	case s.Fence < x.fence:
		return port.ErrFenced
	case s.Expires < x.clock(w.now):
		return port.ErrExpired
	}
	x.fence = s.Fence
	x.expires = max(x.expires, s.Expires)
	if r, ok := x.runs[s.Task]; ok && r.number == s.Run {
		return nil
	}
	if s.Run <= x.highest[s.Task] {
		return port.ErrStaleRun
	}
	w.t.Logf("%v %s starts %v run %d, fence %d", w.now, x.info.ID, s.Task, s.Run, s.Fence)
	w.check(x, s)
	how := job.OutcomeDone
	if rapid.IntRange(0, 5).Draw(w.t, "fails") == 0 {
		how = job.OutcomeFailed
	}
	length := time.Duration(rapid.IntRange(50, 3000).Draw(w.t, "length")) * time.Millisecond
	if w.jobs[s.Task.Job].sub.Steps[s.Task.Step].LongRunning {
		how, length = job.OutcomeStopped, 24*time.Hour // until it is stopped
	}
	x.runs[s.Task] = run{number: s.Run, ends: w.now + length, how: how}
	x.highest[s.Task] = max(x.highest[s.Task], s.Run)
	w.starts++
	return nil
}

// check fails the history when a start breaks a promise.
func (w *world) check(x *executor, s port.Start) {
	j := w.jobs[s.Task.Job]
	switch {
	case j == nil:
		w.t.Fatalf("%v: start of a job that nobody submitted: %v", w.now, s.Task)
	case j.refused == j.attempts:
		w.t.Fatalf("%v: start of the refused job %v", w.now, s.Task)
	case w.noted[s.Task]:
		w.t.Fatalf("%v: start of %v run %d, whose success was taken note of", w.now, s.Task, s.Run)
	case j.settled != 0 && w.now-j.settled > 3*time.Second:
		w.t.Fatalf("%v: start of %v after its cancellation was answered at %v", w.now, s.Task, j.settled)
	}
	for id, other := range w.executors {
		w.expire(other)
		if r, ok := other.runs[s.Task]; ok && other.up {
			w.t.Fatalf("%v: %v run %d starts on %s while run %d is on %s", w.now, s.Task, s.Run, x.info.ID, r.number, id)
		}
	}
	step := j.sub.Steps[s.Task.Step]
	used := step.Need
	for task := range x.runs {
		used = used.Plus(w.jobs[task.Job].sub.Steps[task.Step].Need)
	}
	if !used.FitsIn(x.info.Capacity) {
		w.t.Fatalf("%v: %s holds %+v with %v", w.now, x.info.ID, used, s.Task)
	}
	for _, before := range step.After {
		for index := range j.sub.Steps[before].Count {
			task := job.Task{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: before, Index: index}
			if !j.done[task] {
				w.t.Fatalf("%v: %v starts before %v has ended", w.now, s.Task, task)
			}
		}
	}
	if n := len(w.failures[s.Task]); n >= w.config.Queues[0].Attempts {
		w.t.Fatalf("%v: %v starts after %d failed runs", w.now, s.Task, n)
	}
}

func (w *world) stop(x *executor, s port.Stop) error {
	w.expire(x)
	if s.Fence < x.fence {
		return port.ErrFenced
	}
	x.fence = s.Fence
	if r, ok := x.runs[s.Task]; ok && r.number == s.Run {
		w.end(x, s.Task, job.OutcomeStopped)
	}
	x.highest[s.Task] = max(x.highest[s.Task], s.Run)
	return nil
}

var errSilent = errors.New("no answer in time")

func (w *world) hold(o *owner, e schedule.HoldRuns) {
	x := w.executors[e.Executor]
	sent := w.now
	reply := func(after time.Duration, h port.ExecutorReport, err error) {
		w.at(after, func() {
			w.tell(o, schedule.Held{Executor: e.Executor, Sent: sent, Now: w.now, Holding: h, Err: err})
		})
	}
	if x == nil || !x.up || x.silent > w.now {
		reply(400*time.Millisecond, port.ExecutorReport{}, errSilent)
		return
	}
	w.expire(x)
	if e.Hold.Fence < x.fence {
		reply(time.Millisecond, port.ExecutorReport{}, port.ErrFenced)
		return
	}
	x.fence = e.Hold.Fence
	x.expires = max(x.expires, e.Hold.Expires)
	w.forget(x, e.Hold.Ack)
	w.await(x, w.now+e.Hold.Wait, x.info.Born, func(h port.ExecutorReport, err error) { reply(time.Millisecond, h, err) })
}

// forget takes note of the ends that an owner has acknowledged.
func (w *world) forget(x *executor, ack uint64) {
	for len(x.ends) > 0 && x.ends[0].Number <= ack {
		e := x.ends[0]
		x.ends = x.ends[1:]
		if e.Outcome == job.OutcomeDone {
			w.noted[e.Task] = true
		}
		if e.Outcome == job.OutcomeFailed {
			if w.failures[e.Task] == nil {
				w.failures[e.Task] = map[uint64]bool{}
			}
			w.failures[e.Task][e.Run] = true
		}
	}
}

// await answers a hold at the first end or at its time.
func (w *world) await(x *executor, until time.Duration, born int64, reply func(port.ExecutorReport, error)) {
	if !x.up || x.info.Born != born {
		reply(port.ExecutorReport{}, errSilent)
		return
	}
	w.expire(x)
	if len(x.ends) == 0 && w.now < until {
		w.at(20*time.Millisecond, func() { w.await(x, until, born, reply) })
		return
	}
	h := port.ExecutorReport{Clock: x.clock(w.now), Born: x.info.Born, Ended: slices.Clone(x.ends)}
	for task, r := range x.runs {
		h.Runs = append(h.Runs, port.ActiveRun{Task: task, Run: r.number, Percent: 50})
	}
	slices.SortFunc(h.Runs, func(a, b port.ActiveRun) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	reply(h, nil)
}

// crash ends a life of an executor; it is back under the same name.
func (w *world) crash(id string) {
	x := w.executors[id]
	x.up = false
	w.at(1500*time.Millisecond, func() { w.add(id) })
}

// submit hands a job in; its token is even, that of its cancellation odd.
func (w *world) submit(o *owner, sub job.Submission) {
	if w.jobs[sub.ID] == nil {
		w.jobs[sub.ID] = &submitted{sub: sub, done: map[job.Task]bool{}}
	}
	w.jobs[sub.ID].attempts++
	w.tell(o, schedule.Submit{Token: token(sub.ID), Now: w.now, Unix: w.unix(), Submission: sub})
}

func (w *world) cancel(o *owner, id job.ID) {
	w.jobs[id].asked = true
	w.tell(o, schedule.Cancel{Token: token(id) + 1, Now: w.now, ID: id})
}

func token(id job.ID) uint64 {
	var n uint64
	if _, err := fmt.Sscanf(string(id), "%x", &n); err != nil {
		panic(err)
	}
	return 2 * n
}

func (w *world) answered(a schedule.Answer) {
	j := w.jobs[job.ID(fmt.Sprintf("%016x", a.Token/2))]
	switch {
	case j == nil:
	case a.Token%2 == 1:
		if a.Err == nil && j.cancelled == 0 {
			j.cancelled = w.now
		}
		if j.settled == 0 && j.accepted && (a.Err == nil || errors.Is(a.Err, port.ErrNoJob)) {
			j.settled = w.now
		}
	case a.Err == nil:
		j.accepted = true
	case errors.Is(a.Err, port.ErrNoJob):
		w.t.Fatalf("%v: submission of %s is answered with %v", w.now, j.sub.ID, a.Err)
	case errors.Is(a.Err, port.ErrUnknownOutcome):
		j.unsure = true
	case errors.Is(a.Err, port.ErrNotAccepted):
		j.refused++
	}
}

// current returns the newest owner.
func (w *world) current() *owner { return w.owners[len(w.owners)-1] }

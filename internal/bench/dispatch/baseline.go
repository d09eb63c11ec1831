package dispatch

import (
	"cmp"
	"container/heap"

	"teaselloft/internal/decision/dispatch"
)

// pushed sends each request at once and leaves the queue to the executors.
type pushed struct {
	*simulation
	random   bool
	inFlight map[string]int // by entry instance and executor
}

func (p *pushed) arrive(j *job) {
	w := p.workers[p.rand.IntN(len(p.workers))]
	if !p.random {
		for _, other := range p.workers {
			if p.inFlight[p.key(j, other)] < p.inFlight[p.key(j, w)] {
				w = other
			}
		}
		p.inFlight[p.key(j, w)]++
	}
	p.send(j, w)
}

func (p *pushed) key(j *job, w *worker) string {
	return entryName(j.entry) + w.target.ID
}

func (p *pushed) ended(j *job, w *worker) {
	if !p.random {
		p.inFlight[p.key(j, w)]--
	}
}

// queued is a heap of waiting jobs.
type queued struct {
	jobs []*job
	less func(a, b *job) bool
}

func (q *queued) Len() int           { return len(q.jobs) }
func (q *queued) Less(i, j int) bool { return q.less(q.jobs[i], q.jobs[j]) }
func (q *queued) Swap(i, j int)      { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }
func (q *queued) Push(v any)         { q.jobs = append(q.jobs, v.(*job)) }

func (q *queued) Pop() any {
	last := len(q.jobs) - 1
	j := q.jobs[last]
	q.jobs = q.jobs[:last]
	return j
}

// shortestFirst orders by class, then by true run time.
func shortestFirst(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.request.Class, b.request.Class), cmp.Compare(a.run, b.run)) < 0
}

// firstCome orders by class, then by arrival.
func firstCome(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.request.Class, b.request.Class), a.arrived.Compare(b.arrived)) < 0
}

// ideal starts the first of one queue in any free slot, without delay.
type ideal struct {
	*simulation
	queue queued
}

func (i *ideal) arrive(j *job) {
	i.queue.less = shortestFirst
	j.ahead = i.longShare()
	heap.Push(&i.queue, j)
	i.next()
}

func (i *ideal) ended(*job, *worker) { i.next() }

func (i *ideal) next() {
	for _, w := range i.workers {
		for len(w.running) < slots && i.queue.Len() > 0 {
			j := heap.Pop(&i.queue).(*job)
			if j.request.Deadline.After(i.now) {
				i.start(j, w)
			} else {
				i.refused++
			}
		}
	}
}

// split is a queue for each entry instance, which uses only its own slots.
type split struct {
	*simulation
	queues []queued
	free   []map[string]int // by executor, for each entry instance
}

func newSplit(s *simulation) *split {
	p := &split{simulation: s, queues: make([]queued, s.entries), free: make([]map[string]int, s.entries)}
	var ids, names []string
	for _, w := range s.workers {
		ids = append(ids, w.target.ID)
	}
	for i := range s.entries {
		names = append(names, entryName(i))
	}
	for i := range s.entries {
		p.queues[i].less = firstCome
		p.free[i] = map[string]int{}
		for _, share := range dispatch.StaticShare(ids, slots, names, entryName(i)) {
			p.free[i][share.Executor]++
		}
	}
	return p
}

func (p *split) arrive(j *job) {
	j.ahead = p.longShare()
	heap.Push(&p.queues[j.entry], j)
	p.next(j.entry)
}

func (p *split) ended(j *job, w *worker) {
	p.free[j.entry][w.target.ID]++
	p.next(j.entry)
}

func (p *split) next(entry int) {
	for _, w := range p.workers {
		for p.free[entry][w.target.ID] > 0 && p.queues[entry].Len() > 0 {
			j := heap.Pop(&p.queues[entry]).(*job)
			if !j.request.Deadline.After(p.now) {
				p.refused++
				continue
			}
			p.free[entry][w.target.ID]--
			p.send(j, w)
		}
	}
}

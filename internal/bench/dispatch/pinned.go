package dispatch

// pinned sends all requests of an entry instance over its one connection.
type pinned struct {
	*simulation
	connected map[int]*worker // by entry instance
}

func (p *pinned) arrive(j *job) {
	w := p.connected[j.entry]
	if w == nil || w.left {
		w = p.connect()
		p.connected[j.entry] = w
	}
	p.send(j, w)
}

// connect returns a random executor that is ready.
func (p *pinned) connect() *worker {
	var ready []*worker
	for _, w := range p.workers {
		if !w.left {
			ready = append(ready, w)
		}
	}
	return ready[p.rand.IntN(len(ready))]
}

func (p *pinned) ended(*job, *worker) {}

package placement

import (
	"fmt"
	"slices"
	"time"
)

// Step returns the state after the message and what to do about it; only Time places jobs.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Configure:
		return configure(s, m), nil
	case Joined:
		return join(s.withNow(m.Now), m), nil
	case Left:
		return leave(s.withNow(m.Now), m.Worker), nil
	case Submit:
		return submit(s.withNow(m.Now), m.Job), nil
	case Cancel:
		return cancel(s.withNow(m.Now), m.Jobs)
	case Started:
		return started(s.withNow(m.Now), m.Job)
	case Failed:
		return failed(s.withNow(m.Now), m.Job)
	case Finished:
		return finished(s.withNow(m.Now), m), nil
	case Saved:
		return saved(s.withNow(m.Now), m.Job), nil
	case Used:
		return used(s.withNow(m.Now), m)
	case Time:
		return pass(s.withNow(m.Now))
	default:
		panic(fmt.Sprintf("placement: message %T", m))
	}
}

func configure(s State, m Configure) State {
	s.quotas = make(map[string]Size, len(m.Teams))
	for _, t := range m.Teams {
		s.quotas[t.Name] = Size{
			Cores: float64(t.Quota.Cores), Memory: float64(t.Quota.Memory), Accelerators: t.Quota.Accelerators,
		}
	}
	return s.requeueAside()
}

// requeueAside queues the jobs that were set aside, as what they lacked may be there now.
func (s State) requeueAside() State {
	for itr := s.aside.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		j, _ := s.jobs.Get(id)
		j.phase, j.reason, j.failed = queued, "", nil
		s = s.withJob(j)
	}
	return s
}

func join(s State, m Joined) State {
	w, known := s.workers.Get(m.Worker.ID)
	if known && w.worker == m.Worker {
		w.until = s.now.Add(s.settings.Lease)
		return s.withWorker(w)
	}
	if known {
		s = leave(s, m.Worker.ID)
	}
	w = worker{worker: m.Worker, free: m.Worker.Size, jobs: noJobs(), until: s.now.Add(s.settings.Lease)}
	return s.withWorker(w).requeueAside()
}

// leave queues the jobs of a worker that certainly runs nothing any more.
func leave(s State, id string) State {
	w, ok := s.workers.Get(id)
	if !ok {
		return s
	}
	for itr := w.jobs.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		j, _ := s.jobs.Get(name)
		s, j = s.withRelease(j)
		j.phase = queued
		s = s.withJob(j)
	}
	w, _ = s.workers.Get(id)
	s.rooms = s.rooms.Delete(w.room())
	s.workers = s.workers.Delete(id)
	return s
}

func submit(s State, j Job) State {
	if _, known := s.jobs.Get(j.ID); known {
		return s // a repeated submission runs nothing twice
	}
	s.sequence++
	return s.withJob(job{job: j, phase: queued, sequence: s.sequence, since: s.now})
}

// cancel costs in proportion to the cancelled jobs, whatever the length of the queue.
func cancel(s State, ids []string) (State, []Effect) {
	var effects []Effect
	for _, id := range ids {
		j, ok := s.jobs.Get(id)
		if !ok {
			continue
		}
		if j.worker != "" {
			effects = append(effects, Stop{Job: id, Worker: j.worker})
			s, j = s.withRelease(j)
		}
		s = s.withoutJob(j)
	}
	return s, effects
}

func started(s State, id string) (State, []Effect) {
	j, ok := s.jobs.Get(id)
	if !ok || j.phase != starting {
		return s, nil
	}
	w, ok := s.workers.Get(j.worker)
	if !ok {
		return s, nil
	}
	j.phase, j.since = running, s.now
	s = s.withJob(j)
	w.starting--
	w.failures = nil
	var effects []Effect
	if w.rounds > 0 {
		w.rounds = 0
		effects = append(effects, Readmit{Worker: w.worker.ID})
	}
	return s.withWorker(w), effects
}

// failed queues the job for another worker and quarantines a worker that fails one job after the other.
func failed(s State, id string) (State, []Effect) {
	j, ok := s.jobs.Get(id)
	if !ok || j.phase != starting {
		return s, nil
	}
	name := j.worker
	s, j = s.withRelease(j)
	j.failed = append(slices.Clone(j.failed), name)
	j.phase = queued
	var effects []Effect
	if len(j.failed) >= s.settings.Attempts {
		j.phase = aside
		j.reason = fmt.Sprintf("failed to start on %d workers, last on %s; check the job", len(j.failed), name)
		effects = append(effects, SetAside{Job: id, Reason: j.reason})
	}
	s = s.withJob(j)
	s, more := s.blame(name, id)
	return s, append(effects, more...)
}

// blame counts a failed start against the worker.
func (s State) blame(name, id string) (State, []Effect) {
	w, ok := s.workers.Get(name)
	if !ok {
		return s, nil
	}
	if !slices.Contains(w.failures, id) {
		w.failures = append(slices.Clone(w.failures), id)
	}
	if len(w.failures) < s.settings.Failures && w.rounds == 0 {
		return s.withWorker(w), nil
	}
	length := s.settings.Quarantine
	for range w.rounds {
		length *= time.Duration(s.settings.Growth)
	}
	w.rounds++
	w.failures = nil
	w.banned = s.now.Add(length)
	return s.withWorker(w), []Effect{Quarantine{Worker: name, Until: w.banned}}
}

// kept bounds the peaks from which a kind's size is learned.
const kept = 16

func finished(s State, m Finished) State {
	j, ok := s.jobs.Get(m.Job)
	if !ok || j.worker == "" {
		return s
	}
	s = s.withLearned(j, m.Peak)
	s, j = s.withRelease(j)
	return s.withoutJob(j)
}

// withLearned returns a copy that knows one more peak and run time of the job's kind.
func (s State) withLearned(j job, peak Size) State {
	key := j.job.kind()
	l, _ := s.learned.Get(key)
	l.peaks = append(slices.Clone(l.peaks[max(0, len(l.peaks)+1-kept):]), peak)
	l.size = Size{}
	for _, p := range l.peaks {
		l.size = l.size.most(p)
	}
	l.size.Cores *= s.settings.Headroom
	l.size.Memory *= s.settings.Headroom
	s.learned = s.learned.Set(key, l)
	times, _ := s.times.Get(key)
	s.times = s.times.Set(key, append(slices.Clone(times[max(0, len(times)+1-kept):]), s.now.Sub(j.since)))
	return s
}

func saved(s State, id string) State {
	j, ok := s.jobs.Get(id)
	if !ok || j.phase != saving {
		return s
	}
	s, j = s.withRelease(j)
	j.phase = queued
	return s.withJob(j)
}

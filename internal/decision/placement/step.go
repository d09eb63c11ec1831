package placement

import (
	"fmt"
	"slices"
	"time"
)

// Step returns the state after a message and the effects to carry out. Only Tick places jobs.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case ConfigChanged:
		return onConfigChanged(s, m), nil
	case WorkerHeartbeat:
		return onWorkerHeartbeat(s.withNow(m.Now), m), nil
	case WorkerDead:
		return removeWorker(s.withNow(m.Now), m.Worker), nil
	case Submit:
		return submit(s.withNow(m.Now), m.Job), nil
	case Cancel:
		return cancel(s.withNow(m.Now), m.Jobs)
	case JobStarted:
		return onJobStarted(s.withNow(m.Now), m.Job)
	case StartFailed:
		return onStartFailed(s.withNow(m.Now), m.Job)
	case JobFinished:
		return onJobFinished(s.withNow(m.Now), m), nil
	case JobCheckpointed:
		return onJobCheckpointed(s.withNow(m.Now), m.Job), nil
	case UsageReported:
		return onUsageReported(s.withNow(m.Now), m)
	case Tick:
		return placeQueued(s.withNow(m.Now))
	default:
		panic(fmt.Sprintf("placement: unknown message %T", m))
	}
}

func onConfigChanged(s State, m ConfigChanged) State {
	s.quotas = make(map[string]Size, len(m.Teams))
	for _, t := range m.Teams {
		s.quotas[t.Name] = Size{
			Cores: float64(t.Quota.Cores), Memory: float64(t.Quota.Memory), Accelerators: t.Quota.Accelerators,
		}
	}
	return s.requeueUnschedulable()
}

// requeueUnschedulable queues the unschedulable jobs again, since a change of the workers or quotas may let them run.
func (s State) requeueUnschedulable() State {
	for itr := s.unschedulable.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		j, _ := s.jobs.Get(id)
		j.phase, j.reason, j.failedOn = queued, "", nil
		s = s.withJob(j)
	}
	return s
}

func onWorkerHeartbeat(s State, m WorkerHeartbeat) State {
	w, known := s.workers.Get(m.Worker.ID)
	if known && w.spec == m.Worker {
		w.leaseUntil = s.now.Add(s.settings.LeaseDuration)
		return s.withWorker(w)
	}
	if known {
		s = removeWorker(s, m.Worker.ID)
	}
	w = worker{spec: m.Worker, free: m.Worker.Size, jobs: noJobs(), leaseUntil: s.now.Add(s.settings.LeaseDuration)}
	return s.withWorker(w).requeueUnschedulable()
}

// removeWorker removes a worker whose jobs have certainly stopped, and queues these jobs again.
func removeWorker(s State, id string) State {
	w, ok := s.workers.Get(id)
	if !ok {
		return s
	}
	for itr := w.jobs.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		j, _ := s.jobs.Get(name)
		s, j = s.withoutAssignment(j)
		j.phase = queued
		s = s.withJob(j)
	}
	w, _ = s.workers.Get(id)
	s.byCapacity = s.byCapacity.Delete(w.capacityKey())
	s.workers = s.workers.Delete(id)
	return s
}

func submit(s State, j Job) State {
	if _, known := s.jobs.Get(j.ID); known {
		return s // a repeated submission must not run the job twice
	}
	s.sequence++
	return s.withJob(job{spec: j, phase: queued, sequence: s.sequence, since: s.now})
}

// cancel removes jobs at a cost proportional to their number, independent of the queue length.
func cancel(s State, ids []string) (State, []Effect) {
	var effects []Effect
	for _, id := range ids {
		j, ok := s.jobs.Get(id)
		if !ok {
			continue
		}
		if j.worker != "" {
			effects = append(effects, Stop{Job: id, Worker: j.worker})
			s, j = s.withoutAssignment(j)
		}
		s = s.withoutJob(j)
	}
	return s, effects
}

func onJobStarted(s State, id string) (State, []Effect) {
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
	w.failedJobs = nil
	var effects []Effect
	if w.quarantines > 0 {
		w.quarantines = 0
		effects = append(effects, Readmit{Worker: w.spec.ID})
	}
	return s.withWorker(w), effects
}

// onStartFailed queues the job for another worker and quarantines a worker after repeated failures.
func onStartFailed(s State, id string) (State, []Effect) {
	j, ok := s.jobs.Get(id)
	if !ok || j.phase != starting {
		return s, nil
	}
	name := j.worker
	s, j = s.withoutAssignment(j)
	j.failedOn = append(slices.Clone(j.failedOn), name)
	j.phase = queued
	var effects []Effect
	if len(j.failedOn) >= s.settings.MaxAttempts {
		j.phase = unschedulable
		j.reason = fmt.Sprintf("failed to start on %d workers, last on %s; check the job", len(j.failedOn), name)
		effects = append(effects, MarkUnschedulable{Job: id, Reason: j.reason})
	}
	s = s.withJob(j)
	s, more := s.countStartFailure(name, id)
	return s, append(effects, more...)
}

// countStartFailure counts a failed start against the worker and quarantines it at the threshold, or at once if it is on
// probation.
func (s State) countStartFailure(name, id string) (State, []Effect) {
	w, ok := s.workers.Get(name)
	if !ok {
		return s, nil
	}
	if !slices.Contains(w.failedJobs, id) {
		w.failedJobs = append(slices.Clone(w.failedJobs), id)
	}
	if len(w.failedJobs) < s.settings.FailureThreshold && w.quarantines == 0 {
		return s.withWorker(w), nil
	}
	length := s.settings.BaseQuarantine
	for range w.quarantines {
		length *= time.Duration(s.settings.QuarantineGrowth)
	}
	w.quarantines++
	w.failedJobs = nil
	w.quarantinedUntil = s.now.Add(length)
	return s.withWorker(w), []Effect{Quarantine{Worker: name, Until: w.quarantinedUntil}}
}

// maxSamples bounds the peaks and run times kept for each kind.
const maxSamples = 16

func onJobFinished(s State, m JobFinished) State {
	j, ok := s.jobs.Get(m.Job)
	if !ok || j.worker == "" {
		return s
	}
	s = s.withSample(j, m.Peak)
	s, j = s.withoutAssignment(j)
	return s.withoutJob(j)
}

// withSample returns a copy with one more peak and run time for the kind of the job.
func (s State) withSample(j job, peak Size) State {
	key := j.spec.kind()
	learned, _ := s.sizes.Get(key)
	learned.peaks = append(slices.Clone(learned.peaks[max(0, len(learned.peaks)+1-maxSamples):]), peak)
	learned.size = Size{}
	for _, p := range learned.peaks {
		learned.size = learned.size.maxEach(p)
	}
	learned.size.Cores *= s.settings.Headroom
	learned.size.Memory *= s.settings.Headroom
	s.sizes = s.sizes.Set(key, learned)
	times, _ := s.runTimes.Get(key)
	s.runTimes = s.runTimes.Set(key, append(slices.Clone(times[max(0, len(times)+1-maxSamples):]), s.now.Sub(j.since)))
	return s
}

func onJobCheckpointed(s State, id string) State {
	j, ok := s.jobs.Get(id)
	if !ok || j.phase != checkpointing {
		return s
	}
	s, j = s.withoutAssignment(j)
	j.phase = queued
	return s.withJob(j)
}

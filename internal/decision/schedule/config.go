package schedule

import (
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

func (t *transition) handleConfigChanged(c *site.Config) {
	if c.Version < t.s.config.Version {
		t.emit(note(slog.LevelWarn, "config.older", "version", c.Version, "inforce", t.s.config.Version))
		return
	}
	before := t.s.config
	t.s.config = c
	t.s = t.s.withAccountsOf(before)
	t.updateQueues()
	for i := t.s.moved.Iterator(); !i.Done(); {
		if path, version, _ := i.Next(); version <= c.Version {
			t.s.moved = t.s.moved.Delete(path)
		}
	}
}

// updateQueues gives the open jobs the present settings of their queues, and starts those that waited for them.
func (t *transition) updateQueues() {
	for i := t.s.jobs.Iterator(); !i.Done(); {
		id, before, _ := i.Next()
		after := before.withConfig(t.s)
		if before.state.Final() || after.queue.Equal(before.queue) && after.awaitsConfig == before.awaitsConfig {
			continue
		}
		after.objective += after.queue.Objective(after.sub) - before.queue.Objective(before.sub)
		if before.awaitsConfig && !after.awaitsConfig {
			t.emit(note(slog.LevelInfo, "job.configured", "job", string(id), "queue", after.sub.Queue, "version", t.s.config.Version))
		}
		t.s = t.s.withJob(after)
		t.s = t.s.withAllRanks(id)
	}
}

// queue returns a queue of the current configuration by name.
func (s State) queue(name string) (site.Queue, bool) {
	i := slices.IndexFunc(s.config.Queues, func(q site.Queue) bool { return q.Name == name })
	if i < 0 {
		return site.Queue{}, false
	}
	return s.config.Queues[i], true
}

// defaultAttempts is the limit for jobs whose queue is no longer in the configuration.
const defaultAttempts = 3

func (s State) queueOf(sub job.Submission) site.Queue {
	q, ok := s.queue(sub.Queue)
	if !ok {
		return site.Queue{Name: sub.Queue, Attempts: defaultAttempts, Stretch: 1}
	}
	return q
}

// Slack returns how long after its submission a job may start and still meet its objective.
func (s State) Slack(sub job.Submission) time.Duration {
	return s.objectiveOf(sub) - sub.CriticalPath()
}

// objectiveOf returns the time within which a job should end.
func (s State) objectiveOf(sub job.Submission) time.Duration {
	return s.queueOf(sub).Objective(sub)
}

package pool

import (
	"context"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/decision/intake"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

const submissionCapacity = 1024 // queued submissions; more than an owner handles within intake.MaxLag

// Submit implements port.PoolOwner.
func (o *poolOwner) Submit(ctx context.Context, s job.Submission, version int64) error {
	now := clock.SinceBoot()
	since, err := o.admit(now, s)
	if err != nil {
		return err
	}
	_, err = o.request(ctx, intake.Submission{Job: s.ID}, func(ctx context.Context, token uint64) error {
		m := schedule.Submit{Token: token, Now: now, Since: since, Unix: time.Now().UnixMilli(), Submission: s, Version: version}
		if o.submissions.Push(ctx, m) != nil {
			return o.dropSubmission(s.ID)
		}
		return nil
	})
	return err
}

// dropSubmission records that a submission finds the queue full, and returns its error. The job may be accepted from another
// submission.
func (o *poolOwner) dropSubmission(id job.ID) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	call := intake.Submission{Job: id}
	err := intake.Withdrawn(call, o.knows(call) || o.intake.Repeated(id))
	o.intake = o.intake.WithSettled(id)
	return err
}

// settle records that a queued submission was accepted, refused or dropped. Its answer may wait for the store.
func (o *poolOwner) settle(m schedule.Submit) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.intake = o.intake.WithSettled(m.Submission.ID)
	if c, ok := o.calls[m.Token]; ok {
		c.settled = true
		o.calls[m.Token] = c
	}
}

// admit returns the time at which a job was first submitted, or the error with which it is refused.
func (o *poolOwner) admit(now time.Duration, s job.Submission) (since time.Duration, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.state.Load() // read under the mutex: it has the jobs whose submissions are no longer queued
	waiting := o.submissions.Len()
	if state.Knows(s.ID) {
		o.intake = o.intake.WithQueued(now, waiting, s.ID)
		return now, nil
	}
	since = o.intake.Since(s.ID, now)
	slack := state.Slack(s)
	if !o.intake.Accepts(now, waiting, s.ID, slack) {
		return since, o.refuse(now, s.ID, slack)
	}
	o.intake = o.intake.WithQueued(now, waiting, s.ID)
	return since, nil
}

// refuse records a refusal and returns its error. The caller holds the mutex.
func (o *poolOwner) refuse(now time.Duration, id job.ID, slack time.Duration) error {
	o.link.meters.refused.Inc(1)
	since := o.intake.Since(id, now)
	o.intake = o.intake.WithRefusal(now, id, slack)
	return intake.Refusal(now, since, slack)
}

// nextSubmissions returns the ring of the submissions, or nil while other messages go first.
func (o *poolOwner) nextSubmissions() <-chan schedule.Submit {
	if o.messages.Len() == 0 {
		return o.submissions.Items()
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.intake.Overdue(clock.SinceBoot(), o.submissions.Len()) {
		return o.submissions.Items() // to refuse it
	}
	return nil
}

// handleSubmissions processes a submission and some of those that wait behind it.
func (o *poolOwner) handleSubmissions(ctx context.Context, m schedule.Submit) {
	o.handleSubmission(ctx, m)
	for n := 1; n < intake.Batch(o.messages.Len(), o.submissions.Len()); n++ {
		o.handleSubmission(ctx, <-o.submissions.Items())
	}
}

// handleSubmission processes a submission, unless its caller no longer waits, or it has waited too long and the job is neither
// known nor submitted again by another one that waits and may be accepted.
func (o *poolOwner) handleSubmission(ctx context.Context, m schedule.Submit) {
	now, state := clock.SinceBoot(), o.state.Load()
	o.mutex.Lock()
	waits := o.beginLocked(m.Token)
	o.intake = o.intake.WithHandled(now, m.Now)
	var err error
	if waits && intake.Expired(now, m.Now) && !state.Knows(m.Submission.ID) && !o.intake.Repeated(m.Submission.ID) {
		err = o.refuse(now, m.Submission.ID, state.Slack(m.Submission))
	}
	o.mutex.Unlock()
	o.observeLag(now - m.Now)
	defer o.settle(m) // the published state shows by then whether the job is known
	switch {
	case !waits:
		o.link.meters.abandoned.Inc(1)
	case err != nil:
		o.answer(schedule.Answer{Token: m.Token, Err: err})
	default:
		o.step(ctx, m)
	}
}

var _ port.PoolOwner = (*poolOwner)(nil)

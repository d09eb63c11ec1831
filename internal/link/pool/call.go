package pool

import (
	"context"
	"errors"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/intake"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"
)

// waitingCall is a call and the ring of its answer.
type waitingCall struct {
	call    intake.Call
	settled bool // a submission that no longer counts as queued
	reply   *ring.Ring[schedule.Answer]
}

// callOwner queues a call as a message and waits for its answer, as request does.
func (o *poolOwner) callOwner(ctx context.Context, call intake.Call, message func(token uint64) schedule.Message) (schedule.Answer, error) {
	return o.request(ctx, call, func(ctx context.Context, token uint64) error {
		if o.messages.Push(ctx, queued{message: message(token), at: time.Now()}) != nil {
			return port.ErrNotAccepted // the queue is full
		}
		return nil
	})
}

// request queues a call with push and waits for its answer. It returns ErrNotOwner after shutdown, the error of push if the
// queue is full, and the error of intake.Withdrawn if ctx ends first.
func (o *poolOwner) request(ctx context.Context, call intake.Call, push func(ctx context.Context, token uint64) error) (schedule.Answer, error) {
	reply := ring.NewReply[schedule.Answer]()
	o.mutex.Lock()
	if o.closed {
		o.mutex.Unlock()
		return schedule.Answer{}, port.ErrNotOwner
	}
	o.lastToken++
	token := o.lastToken
	o.calls[token] = waitingCall{call: call, reply: reply}
	o.mutex.Unlock()
	if err := push(ctx, token); err != nil {
		_ = o.withdraw(token)
		return schedule.Answer{}, err
	}
	a, err := reply.Pull(ctx)
	if err != nil {
		if err = o.withdraw(token); err != nil {
			return a, err
		}
		a, _ = reply.Pull(context.Background()) // the answer was found at the same time and is being pushed
	}
	return a, a.Err
}

// begin records that the owner begins to handle a call. It returns false if the call was withdrawn, or if the owner is stopped
// and would not carry out what it decides.
func (o *poolOwner) begin(token uint64) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.beginLocked(token)
}

// beginLocked does the same. The caller holds the mutex.
func (o *poolOwner) beginLocked(token uint64) bool {
	c, ok := o.calls[token]
	ok = ok && o.context.Err() == nil
	if ok {
		c.call = intake.Begin(c.call)
		o.calls[token] = c
	}
	return ok
}

// withdraw removes a call and returns its error, or nil if the call has an answer.
func (o *poolOwner) withdraw(token uint64) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	c, ok := o.calls[token]
	if !ok {
		return nil
	}
	delete(o.calls, token)
	s, ok := c.call.(intake.Submission)
	return intake.Withdrawn(c.call, ok && (o.knows(c.call) || o.intake.Repeated(s.Job)))
}

// knows reports whether the owner knows the job of a submission.
func (o *poolOwner) knows(c intake.Call) bool {
	s, ok := c.(intake.Submission)
	return ok && o.state.Load().Knows(s.Job)
}

// answer passes an answer on to its caller, if that one still waits. A job is not refused while another submission of it is
// queued, which may be accepted.
func (o *poolOwner) answer(a schedule.Answer) {
	o.mutex.Lock()
	c, ok := o.calls[a.Token]
	delete(o.calls, a.Token)
	if s, is := c.call.(intake.Submission); is && errors.Is(a.Err, port.ErrNotAccepted) && o.intake.HasOther(s.Job, c.settled) {
		a.Err = port.ErrUnknownOutcome
	}
	o.mutex.Unlock()
	if ok {
		_ = c.reply.Push(context.Background(), a) // never full: a reply ring receives one answer
	}
}

// Relinquish implements port.PoolOwner.
func (o *poolOwner) Relinquish(ctx context.Context, s job.Submission, version int64) error {
	_, err := o.callOwner(ctx, intake.OtherCall{}, func(token uint64) schedule.Message {
		return schedule.Relinquish{Token: token, Now: clock.SinceBoot(), Submission: s, Version: version}
	})
	switch {
	case errors.Is(err, port.ErrNoJob):
		return o.unknownJobError()
	case errors.Is(err, port.ErrNotAccepted):
		return port.ErrUnknownOutcome // the owner has not excluded a later submission
	}
	return err
}

// State implements port.PoolOwner.
func (o *poolOwner) State(_ context.Context, id job.ID, account string) (job.State, error) {
	status := o.state.Load().StatusFor(id, account)
	switch {
	case status.Known:
		return status.State, nil
	case status.Unreadable:
		return 0, port.ErrUnavailable
	}
	return 0, o.unknownJobError()
}

// unknownJobError returns ErrNoJob while the lease of this daemon is certain to be valid. Otherwise another owner may
// know the job, and it returns ErrUnavailable.
func (o *poolOwner) unknownJobError() error {
	m, ok := kernel.Use[port.Membership](o.link.host)
	if !ok || clock.SinceBoot() >= m.LeaseValidUntil() {
		return port.ErrUnavailable
	}
	return port.ErrNoJob
}

// Cancel implements port.PoolOwner.
func (o *poolOwner) Cancel(ctx context.Context, id job.ID, account string) error {
	_, err := o.callOwner(ctx, intake.Cancellation{}, func(token uint64) schedule.Message {
		return schedule.Cancel{Token: token, Now: clock.SinceBoot(), ID: id, Account: account}
	})
	switch {
	case errors.Is(err, port.ErrNoJob):
		return o.unknownJobError()
	case errors.Is(err, port.ErrNotAccepted):
		return port.ErrUnavailable // the queue is full
	}
	return err
}

// Pending implements port.PoolOwner.
func (o *poolOwner) Pending(_ context.Context, queue string) (int, error) {
	return o.state.Load().Pending(queue), nil
}

// Vacate implements port.PoolOwner.
func (o *poolOwner) Vacate(ctx context.Context, executors []string, duration time.Duration) ([]string, error) {
	a, err := o.callOwner(ctx, intake.OtherCall{}, func(token uint64) schedule.Message {
		now := clock.SinceBoot()
		return schedule.Vacate{Token: token, Now: now, Until: now + duration, Executors: executors}
	})
	return a.Empty, err
}

// Load implements port.PoolOwner.
func (o *poolOwner) Load(context.Context) (port.Load, error) {
	return o.state.Load().Load(), nil
}

// Quota implements port.PoolOwner.
func (o *poolOwner) Quota(ctx context.Context, limits map[string]quota.Limit) (quota.Report, error) {
	_, err := o.callOwner(ctx, intake.OtherCall{}, func(token uint64) schedule.Message {
		return schedule.SetLimits{Token: token, Now: clock.SinceBoot(), Limits: limits}
	})
	if err != nil {
		return quota.Report{}, err
	}
	return o.state.Load().QuotaReport(), nil
}

package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
)

// exchange handles one request until it is answered.
type exchange struct {
	link       *link
	writer     http.ResponseWriter
	incoming   *http.Request
	request    message.Request
	body       []byte
	verdicts   *ring.Ring[message.Verdict]
	decision   decisionHeaders
	mayHaveRun bool   // whether an executor may have run the request
	lastError  string // error text of the last failed send
}

// run requests verdicts and acts on them until the request is answered, its deadline passes or its caller disconnects.
func (x *exchange) run(ctx context.Context) {
	if err := x.link.events.Push(ctx, message.RequestArrived{Request: x.request, Reply: x.verdicts}); err != nil {
		x.fail(refusalAnswer(message.Refusal{Reason: message.ReasonBusy, RetryAfter: defaultRetryAfter}))
		return
	}
	for {
		verdict, err := x.verdicts.Pull(ctx)
		if err != nil {
			x.cancel()
			return
		}
		if x.handleVerdict(ctx, verdict) {
			return
		}
	}
}

// handleVerdict acts on a verdict. It returns true once the request is answered.
func (x *exchange) handleVerdict(ctx context.Context, verdict message.Verdict) bool {
	switch v := verdict.(type) {
	case message.Send:
		x.decision = decisionHeaders{config: v.Config, owner: v.Owner, correction: v.Correction}
		return x.send(ctx, v)
	case message.Refuse:
		x.decision.config, x.decision.owner = v.Config, v.Owner
		x.refuse(v.Refusal)
		return true
	case message.Replay:
		x.decision.config = v.Config
		x.link.meters.replayed.Inc(1)
		x.writeAnswer(answer{status: v.Answer.Status, header: v.Answer.Header, body: v.Answer.Body})
		return true
	case message.NoRetry:
		x.failWithoutRetry()
		return true
	default:
		panic(fmt.Sprintf("caller: verdict %T is not handled", verdict))
	}
}

// send sends the request once and reports the outcome. It returns false if another verdict follows.
func (x *exchange) send(ctx context.Context, v message.Send) bool {
	if ctx.Err() != nil {
		x.cancel()
		return true
	}
	// The send goes on after the caller disconnects: the executor may still be running the request, so its slot is
	// not free, and the answer to a non-idempotent request is stored for a repeated idempotency key.
	sendCtx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), x.request.Deadline, errDeadline)
	defer cancel()
	outgoing, err := executorRequest(x.incoming, x.request, v.Service, x.body, time.Until(x.request.Deadline))
	if err != nil {
		return x.handleSendFailure(ctx, message.NotRun, 0, err)
	}
	started := time.Now()
	resp, outcome, err := x.link.sender.Send(sendCtx, v.Executor, outgoing)
	if err != nil {
		return x.handleSendFailure(ctx, outcome, time.Since(started), err)
	}
	defer func() { _ = resp.Body.Close() }()
	prefix, complete, err := readUpTo(resp, x.link.settings.AnswerBuffer)
	switch {
	case err != nil:
		return x.handleSendFailure(ctx, message.Unknown, time.Since(started), err)
	case !complete:
		x.stream(resp, prefix, started)
		return true
	}
	a := answer{status: resp.StatusCode, header: answerHeader(resp.Header), body: prefix}
	x.reportFinished(message.SendFinished{Outcome: message.Answered, RunTime: time.Since(started), Answer: x.answerToStore(a)})
	x.writeAnswer(a)
	return true
}

// handleSendFailure reports a failed send. It returns false if it requested another verdict for a retry.
func (x *exchange) handleSendFailure(ctx context.Context, outcome message.Outcome, took time.Duration, cause error) bool {
	x.mayHaveRun = x.mayHaveRun || outcome != message.NotRun
	x.lastError = cause.Error()
	retry := (outcome == message.NotRun || x.request.Idempotent) && ctx.Err() == nil && !x.expired()
	x.link.log.Debug("send failed", "event", "caller.send", "request", x.request.ID.String(),
		"outcome", outcome.String(), "retry", retry, "error", cause)
	x.reportFinished(message.SendFinished{Outcome: outcome, RunTime: took, Retry: retry})
	if retry {
		x.link.meters.retried.Inc(1)
		return false
	}
	x.failWithoutRetry()
	return true
}

// reportFinished reports the outcome of a send to the routing duty.
func (x *exchange) reportFinished(f message.SendFinished) {
	f.ID = x.request.ID
	x.report(f)
}

// report sends an event to the routing duty. It waits while the ring is full, because a lost report would occupy a slot
// until the request's deadline.
func (x *exchange) report(e message.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTimeout)
	defer cancel()
	if err := x.link.events.PushWait(ctx, e); err != nil {
		x.link.meters.lostEvents.Inc(1)
		x.link.log.Error("event was not delivered to the routing duty", "event", "caller.lost", "request", x.request.ID.String(), "error", err)
	}
}

// cancel withdraws a request that is waiting for a verdict and answers it with an error.
func (x *exchange) cancel() {
	x.report(message.RequestCanceled{ID: x.request.ID})
	x.failWithoutRetry()
}

// refuse answers with a refusal, or with an unknown outcome if an earlier send of the request may have run.
func (x *exchange) refuse(r message.Refusal) {
	if x.mayHaveRun {
		x.fail(unknownAnswer(x.lastError))
		return
	}
	x.fail(refusalAnswer(r))
}

// failWithoutRetry writes the error answer of a request that is not sent again.
func (x *exchange) failWithoutRetry() {
	switch {
	case x.mayHaveRun:
		x.fail(unknownAnswer(x.lastError))
	case x.expired():
		x.fail(refusalAnswer(message.Refusal{Reason: message.ReasonDeadline, Detail: x.lastError, RetryAfter: defaultRetryAfter}))
	default:
		x.fail(refusalAnswer(message.Refusal{Reason: reasonSendFailed, Detail: x.lastError, RetryAfter: defaultRetryAfter}))
	}
}

// expired reports whether the deadline has passed. It checks the clock, because a send with the same deadline can fail
// a moment before the request's context ends.
func (x *exchange) expired() bool {
	return !time.Now().Before(x.request.Deadline)
}

// fail writes an error answer to the caller.
func (x *exchange) fail(a errorAnswer) {
	switch a.outcome {
	case message.NotRun:
		x.link.meters.notRun.Inc(1)
	case message.Answered, message.Unknown:
		x.link.meters.unknown.Inc(1)
	}
	x.link.limitWrite(x.writer)
	if err := a.write(x.writer, x.decision); err != nil {
		x.recordUndelivered(err)
	}
}

// recordUndelivered counts and logs an answer that could not be written to the caller.
func (x *exchange) recordUndelivered(err error) {
	x.link.meters.undelivered.Inc(1)
	x.link.log.Debug("answer was not delivered", "event", "caller.write", "request", x.request.ID.String(), "error", err)
}

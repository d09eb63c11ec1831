package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
)

// exchange takes one request to its one answer.
type exchange struct {
	link    *link
	writer  http.ResponseWriter
	caller  *http.Request
	request message.Request
	body    []byte
	reply   *ring.Ring[message.Verdict]
	origin  origin
	ran     bool   // a send of this request may have run
	fault   string // of the last failed send
}

// run asks for a verdict and follows it until the request is answered, its deadline passes or its caller leaves.
func (x *exchange) run(ctx context.Context) {
	if err := x.link.route.Push(ctx, message.RequestArrived{Request: x.request, Reply: x.reply}); err != nil {
		x.fail(refused(message.Refusal{Reason: message.ReasonBusy, RetryAfter: busyRetry}))
		return
	}
	for {
		verdict, err := x.reply.Pull(ctx)
		if err != nil {
			x.abandon()
			return
		}
		if x.follow(ctx, verdict) {
			return
		}
	}
}

// follow acts on a verdict and reports whether the request is answered.
func (x *exchange) follow(ctx context.Context, verdict message.Verdict) bool {
	switch v := verdict.(type) {
	case message.Send:
		x.origin = origin{config: v.Config, owner: v.Owner, correction: v.Correction}
		return x.send(ctx, v)
	case message.Refuse:
		x.origin.config, x.origin.owner = v.Config, v.Owner
		x.refuse(v.Refusal)
		return true
	case message.Replay:
		x.origin.config = v.Config
		x.link.meters.replayed.Inc(1)
		x.write(answer{status: v.Answer.Status, header: v.Answer.Header, body: v.Answer.Body})
		return true
	case message.NoRetry:
		x.settle()
		return true
	default:
		panic(fmt.Sprintf("caller: verdict %T is not handled", verdict))
	}
}

// send performs one send and reports its end; it returns false when another verdict follows.
func (x *exchange) send(ctx context.Context, v message.Send) bool {
	if ctx.Err() != nil {
		x.abandon()
		return true
	}
	// The caller's departure does not end the send: the executor may run on, so its slot is not free,
	// and the answer to a non-idempotent request is kept for the repeated key.
	sending, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), x.request.Deadline, errDeadline)
	defer cancel()
	out, err := outgoing(x.caller, x.request, v.Service, x.body, time.Until(x.request.Deadline))
	if err != nil {
		return x.failed(ctx, message.NotRun, 0, err)
	}
	started := time.Now()
	resp, outcome, err := x.link.sender.Send(sending, v.Executor, out)
	if err != nil {
		return x.failed(ctx, outcome, time.Since(started), err)
	}
	defer func() { _ = resp.Body.Close() }()
	head, whole, err := readHead(resp, x.link.settings.Buffer)
	switch {
	case err != nil:
		return x.failed(ctx, message.Unknown, time.Since(started), err)
	case !whole:
		x.stream(resp, head, started)
		return true
	}
	a := answer{status: resp.StatusCode, header: answerHeader(resp.Header), body: head}
	x.finish(message.SendFinished{Outcome: message.Answered, RunTime: time.Since(started), Answer: x.kept(a)})
	x.write(a)
	return true
}

// failed reports a failed send; it returns false when another verdict is asked for.
func (x *exchange) failed(ctx context.Context, outcome message.Outcome, took time.Duration, cause error) bool {
	x.ran = x.ran || outcome != message.NotRun
	x.fault = cause.Error()
	retry := (outcome == message.NotRun || x.request.Idempotent) && ctx.Err() == nil && !x.expired()
	x.link.log.Debug("send failed", "event", "caller.send", "request", x.request.ID.String(),
		"outcome", outcome.String(), "retry", retry, "error", cause)
	x.finish(message.SendFinished{Outcome: outcome, RunTime: took, Retry: retry})
	if retry {
		x.link.meters.retried.Inc(1)
		return false
	}
	x.settle()
	return true
}

// finish reports the end of a send; it waits for room, since a lost report would hold a slot until the deadline.
func (x *exchange) finish(f message.SendFinished) {
	f.ID = x.request.ID
	x.report(f)
}

func (x *exchange) report(e message.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTimeout)
	defer cancel()
	if err := x.link.route.PushWait(ctx, e); err != nil {
		x.link.meters.lost.Inc(1)
		x.link.log.Error("routing duty takes no events", "event", "caller.lost", "request", x.request.ID.String(), "error", err)
	}
}

// abandon withdraws a request that waits for a verdict.
func (x *exchange) abandon() {
	x.report(message.RequestCanceled{ID: x.request.ID})
	x.settle()
}

// refuse answers with a refusal; after a send that may have run the outcome stays unknown.
func (x *exchange) refuse(r message.Refusal) {
	if x.ran {
		x.fail(unknown(x.fault))
		return
	}
	x.fail(refused(r))
}

// settle answers when no further send follows.
func (x *exchange) settle() {
	switch {
	case x.ran:
		x.fail(unknown(x.fault))
	case x.expired():
		x.fail(refused(message.Refusal{Reason: message.ReasonDeadline, Detail: x.fault}))
	default:
		x.fail(refused(message.Refusal{Reason: reasonSend, Detail: x.fault, RetryAfter: busyRetry}))
	}
}

// expired tells whether the deadline passed; ctx may end a moment after a send that has the same deadline.
func (x *exchange) expired() bool {
	return !time.Now().Before(x.request.Deadline)
}

// fail answers without an executor's answer.
func (x *exchange) fail(f failure) {
	switch f.outcome {
	case message.NotRun:
		x.link.meters.notRun.Inc(1)
	case message.Answered, message.Unknown:
		x.link.meters.unknown.Inc(1)
	}
	x.link.limitWrite(x.writer)
	if err := f.write(x.writer, x.origin); err != nil {
		x.departed(err)
	}
}

func (x *exchange) departed(err error) {
	x.link.meters.departed.Inc(1)
	x.link.log.Debug("answer was not delivered", "event", "caller.write", "request", x.request.ID.String(), "error", err)
}

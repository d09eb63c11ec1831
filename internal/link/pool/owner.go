package pool

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Capacities of an owner's rings.
const (
	messageCapacity = 4096 // requests, reports and outcomes that wait for a decision
	batch           = 64   // messages decided before starts and writes go out
	orderCapacity   = 512  // orders that wait for one executor
	adviceCapacity  = 64   // steps that wait for advice
)

// owner runs one pool that this process owns.
type owner struct {
	tenancy
	link     *link
	messages *ring.Ring[schedule.Message]
	commits  *ring.Ring[schedule.Commit]
	advice   *ring.Ring[schedule.Advise]
	state    atomic.Pointer[schedule.State]
	first    []schedule.Effect
	writer   writer
	context  context.Context
	cancel   context.CancelFunc
	ended    chan struct{}
	channels map[string]*channel // of the duty alone
	informed informed            // of the claiming duty alone

	mutex   sync.Mutex
	token   uint64
	replies map[uint64]*ring.Ring[schedule.Answer]
	closed  bool
}

// informed is what the owner was last told of the directory.
type informed struct {
	config    *site.Config
	executors map[string]site.Executor
}

func newOwner(ctx context.Context, l *link, t tenancy, w writer, s schedule.State, first []schedule.Effect) *owner {
	o := &owner{
		link: l, tenancy: t, first: first,
		messages: ring.New[schedule.Message]("pool.messages", messageCapacity, ring.Refuse, l.host.Metrics),
		commits:  ring.New[schedule.Commit]("pool.commits", 1, ring.Block, l.host.Metrics),
		advice:   ring.New[schedule.Advise]("pool.advice", adviceCapacity, ring.Refuse, l.host.Metrics),
		writer:   w,
		ended:    make(chan struct{}), channels: map[string]*channel{}, replies: map[uint64]*ring.Ring[schedule.Answer]{},
	}
	o.context, o.cancel = context.WithCancel(ctx)
	o.state.Store(&s)
	return o
}

// stop implements tenant.
func (o *owner) stop() <-chan struct{} {
	o.cancel()
	return o.ended
}

// held implements tenant.
func (o *owner) held() tenancy { return o.tenancy }

// dump implements tenant.
func (o *owner) dump() any { return o.state.Load().Summary() }

// run decides on messages until the pool is given up.
func (o *owner) run() {
	ctx := o.context
	defer close(o.ended)
	defer o.finish()
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { o.write(ctx) })
	duties.Go(func() { o.ask(ctx) })
	o.perform(ctx, &duties, o.first)
	pause := time.NewTicker(tickEvery)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.messages.Items():
			o.step(ctx, &duties, m)
			for n := 1; n < batch && o.messages.Len() > 0; n++ {
				o.step(ctx, &duties, <-o.messages.Items())
			}
		case <-pause.C:
			o.step(ctx, &duties, schedule.Tick{Now: clock.SinceBoot(), Unix: time.Now().UnixMilli()})
		}
		o.step(ctx, &duties, schedule.RunCycle{Now: clock.SinceBoot()})
	}
}

func (o *owner) step(ctx context.Context, duties *sync.WaitGroup, m schedule.Message) {
	s, effects := schedule.Step(*o.state.Load(), m)
	o.state.Store(&s)
	o.perform(ctx, duties, effects)
}

// perform carries effects out; none of them waits.
func (o *owner) perform(ctx context.Context, duties *sync.WaitGroup, effects []schedule.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case schedule.Answer:
			o.answer(e)
		case schedule.Commit:
			if err := o.commits.Push(ctx, e); err != nil {
				return // the pool is given up
			}
		case schedule.StartRun:
			o.order(ctx, e.Executor, startOrder(e))
		case schedule.StopRun:
			o.order(ctx, e.Executor, stopOrder(e))
		case schedule.ThrottleRun:
			o.order(ctx, e.Executor, paceOrder(e))
		case schedule.SendHeartbeat:
			o.hold(ctx, e)
		case schedule.Connect:
			o.connect(ctx, duties, e.Executor)
		case schedule.Disconnect:
			o.disconnect(e.Executor)
		case schedule.Advise:
			if err := o.advice.Push(ctx, e); err != nil {
				o.tell(ctx, schedule.AdviceResult{Step: e.Step, Now: clock.SinceBoot(), Err: err})
			}
		case schedule.StepDown:
			o.link.drop(o, "an executor has seen a newer owner", "executor", e.Executor)
		case schedule.Note:
			o.link.log.Log(ctx, e.Level, "schedule", append([]any{"event", e.Event, "pool", o.duty, "epoch", o.epoch}, e.Attrs...)...)
		default:
			panic("pool: effect is not handled")
		}
	}
}

// tell queues a message for the deciding duty; outcomes are never refused.
func (o *owner) tell(ctx context.Context, m schedule.Message) {
	if err := o.messages.Push(ctx, m); err == nil || !errors.Is(err, ring.ErrFull) {
		return
	}
	go func() { _ = o.messages.PushWait(ctx, m) }() // fails only when the pool is given up
}

// inform passes on what has changed in the directory.
func (o *owner) inform(ctx context.Context, d cluster.Directory) {
	if d.Config != nil && d.Config != o.informed.config {
		o.informed.config = d.Config
		o.tell(ctx, schedule.ConfigChanged{Config: d.Config})
	}
	if !d.Reported {
		return
	}
	listed, _ := d.PoolExecutors(o.duty, 0)
	same := len(listed) == len(o.informed.executors) && o.informed.executors != nil
	for _, e := range listed {
		before, ok := o.informed.executors[e.ID]
		same = same && ok && before.SameReport(e)
	}
	if same {
		return
	}
	o.informed.executors = map[string]site.Executor{}
	for _, e := range listed {
		o.informed.executors[e.ID] = e
	}
	o.tell(ctx, schedule.ExecutorsListed{Now: clock.SinceBoot(), Executors: listed})
}

// call queues a request and waits for its answer.
func (o *owner) call(ctx context.Context, message func(token uint64) schedule.Message) (schedule.Answer, error) {
	reply := ring.NewReply[schedule.Answer]()
	o.mutex.Lock()
	if o.closed {
		o.mutex.Unlock()
		return schedule.Answer{}, port.ErrNotOwner
	}
	o.token++
	token := o.token
	o.replies[token] = reply
	o.mutex.Unlock()
	if err := o.messages.Push(ctx, message(token)); err != nil {
		o.forget(token)
		return schedule.Answer{}, port.ErrNotAccepted
	}
	a, err := reply.Pull(ctx)
	if err != nil {
		o.forget(token)
		return a, port.ErrUnknownOutcome
	}
	return a, a.Err
}

func (o *owner) forget(token uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.replies, token)
}

func (o *owner) answer(a schedule.Answer) {
	o.mutex.Lock()
	reply, ok := o.replies[a.Token]
	delete(o.replies, a.Token)
	o.mutex.Unlock()
	if ok {
		_ = reply.Push(context.Background(), a) // the ring of one answer has room
	}
}

// finish answers what still waits; whether it took effect is for the next owner to say.
func (o *owner) finish() {
	o.cancel()
	o.mutex.Lock()
	o.closed = true
	replies := o.replies
	o.replies = map[uint64]*ring.Ring[schedule.Answer]{}
	o.mutex.Unlock()
	for token, reply := range replies {
		_ = reply.Push(context.Background(), schedule.Answer{Token: token, Err: port.ErrUnknownOutcome}) // the ring of one answer has room
	}
	for id := range o.channels {
		o.disconnect(id)
	}
}

// Submit implements port.PoolOwner.
func (o *owner) Submit(ctx context.Context, s job.Submission) error {
	_, err := o.call(ctx, func(token uint64) schedule.Message {
		return schedule.Submit{Token: token, Now: clock.SinceBoot(), Unix: time.Now().UnixMilli(), Submission: s}
	})
	return err
}

// State implements port.PoolOwner; an unknown job is reported only while this daemon is certain to be the owner.
func (o *owner) State(_ context.Context, id job.ID) (job.State, error) {
	look := o.state.Load().Status(id)
	if look.Known {
		return look.State, nil
	}
	return 0, o.unknown()
}

func (o *owner) unknown() error {
	m, ok := kernel.Use[port.Membership](o.link.host)
	if !ok || clock.SinceBoot() >= m.LeaseValidUntil() {
		return port.ErrUnavailable
	}
	return port.ErrNoJob
}

// Cancel implements port.PoolOwner.
func (o *owner) Cancel(ctx context.Context, id job.ID) error {
	_, err := o.call(ctx, func(token uint64) schedule.Message {
		return schedule.Cancel{Token: token, Now: clock.SinceBoot(), ID: id}
	})
	if errors.Is(err, port.ErrNoJob) {
		return o.unknown()
	}
	return err
}

// Pending implements port.PoolOwner.
func (o *owner) Pending(_ context.Context, queue string) (int, error) {
	return o.state.Load().Pending(queue), nil
}

// Vacate implements port.PoolOwner.
func (o *owner) Vacate(ctx context.Context, executors []string, length time.Duration) ([]string, error) {
	a, err := o.call(ctx, func(token uint64) schedule.Message {
		now := clock.SinceBoot()
		return schedule.Vacate{Token: token, Now: now, Until: now + length, Executors: executors}
	})
	return a.Empty, err
}

// Load implements port.PoolOwner.
func (o *owner) Load(context.Context) (port.Load, error) {
	return o.state.Load().Load(), nil
}

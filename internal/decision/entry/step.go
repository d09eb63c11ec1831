package entry

import (
	"fmt"
	"time"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/decision/ownership"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// step is one run of Step: the state and the effects so far.
//
// The decisions inside an entry instance exchange frames through local, so that
// a request to a service of its own costs no encoding.
type step struct {
	State
	now     time.Time
	effects []Effect
	local   []message.Frame
}

// Step returns the state after a message and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	t := &step{State: s, now: timeOf(m)}
	if len(t.static) > 0 {
		t.updateStatic()
	}
	switch m := m.(type) {
	case Event:
		t.event(m.Event)
	case Verified:
		t.memberStep(ownership.VerifyResult{Now: m.Now, Service: m.Service, Epoch: m.Epoch, Alive: m.Alive})
	case Claimed:
		t.claimRead(m)
	case Written:
		t.written(m)
	case Leave:
		t.memberStep(ownership.Leave{Now: m.Now})
	case Wake:
		t.wake()
	default:
		panic(fmt.Sprintf("entry: unknown message %T", m))
	}
	for len(t.local) > 0 {
		f := t.local[0]
		t.local = t.local[1:]
		t.receive(t.self, f)
	}
	return t.State, t.effects
}

// timeOf returns the time that a message carries.
func timeOf(m Message) time.Time {
	switch m := m.(type) {
	case Event:
		return m.Now
	case Verified:
		return m.Now
	case Claimed:
		return m.Now
	case Written:
		return m.Now
	case Leave:
		return m.Now
	case Wake:
		return m.Now
	default:
		panic(fmt.Sprintf("entry: unknown message %T", m))
	}
}

// NextWake returns when Wake is due, zero for never.
func (s State) NextWake() time.Time {
	wake := s.member.NextWake()
	sooner := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	sooner(s.forward.NextWake())
	for _, d := range s.dispatch {
		sooner(d.NextWake())
	}
	for _, e := range s.clearing {
		for _, b := range e.grants {
			sooner(b.deadline.Add(linger))
		}
	}
	if len(s.static) > 0 {
		sooner(s.staticEnd())
	}
	return wake
}

func (t *step) event(e message.Event) {
	switch e := e.(type) {
	case message.RequestArrived:
		t.arrive(e.Request)
	case message.SendFinished:
		t.forget(e.ID)
		t.forwardStep(forward.Finished{Now: t.now, Finish: e})
	case message.RequestCanceled:
		t.forget(e.ID)
		t.forwardStep(forward.Abandoned{Now: t.now, ID: e.ID})
	case message.FrameReceived:
		t.receive(e.From, e.Frame)
	case message.LinkChanged:
		t.linked(e)
	case message.ConfigChanged:
		t.configure(e.Fleet)
	case message.RecordChanged:
		t.changed(e)
	case message.InstancesListed:
		t.list(e)
	case message.LeaseRenewed:
		t.memberStep(ownership.LeaseRenewed{Now: t.now, Incarnation: e.Incarnation, Until: e.Sent.Add(e.TTL - leaseMargin)})
		t.updateStatic()
	case message.RenewalFailed:
		t.unanswered = e.Sent
		t.updateStatic()
	case message.InspectInstance:
		t.inspect(e.Instance)
	default:
		panic(fmt.Sprintf("entry: unknown event %T", e))
	}
}

func (t *step) wake() {
	t.memberStep(ownership.Tick{Now: t.now})
	t.forwardStep(forward.Tick{Now: t.now})
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.Tick{Now: t.now})
	}
	t.updateClearing()
	t.updateStatic()
}

func (t *step) emit(e Effect) {
	t.effects = append(t.effects, e)
}

// frame sends a frame to an entry instance, which may be this one.
func (t *step) frame(to string, f message.Frame) {
	if to == t.self {
		t.local = append(t.local, f)
		return
	}
	t.emit(Frame{To: to, Frame: f})
}

func (t *step) forwardStep(m forward.Message) {
	var effects []forward.Effect
	t.forward, effects = forward.Step(t.forward, m)
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Verdict:
			t.emit(Verdict(e))
		case forward.Frame:
			t.frame(e.To, e.Frame)
		default:
			panic(fmt.Sprintf("entry: unknown effect %T", e))
		}
	}
}

func (t *step) dispatchStep(service string, m dispatch.Message) {
	d, ok := t.dispatch[service]
	if !ok {
		return
	}
	d, effects := dispatch.Step(d, m)
	t.dispatch = copymap.With(t.dispatch, service, d)
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.SendFrame:
			t.frame(e.To, e.Frame)
		case dispatch.Write:
			t.emit(Write(e))
		case dispatch.Resign:
			t.memberStep(ownership.Resign{Now: t.now, Service: service, Epoch: e.Epoch})
		default:
			panic(fmt.Sprintf("entry: unknown effect %T", e))
		}
	}
}

func (t *step) memberStep(m ownership.Message) {
	var effects []ownership.Effect
	t.member, effects = ownership.Step(t.member, m)
	for _, e := range effects {
		t.memberEffect(e)
	}
}

func (t *step) memberEffect(e ownership.Effect) {
	switch e := e.(type) {
	case ownership.Verify:
		t.emit(Verify(e))
	case ownership.Write:
		t.emit(Write{Record: e.Owner, Expected: e.ExpectedRevision, Epoch: e.Owner.Epoch})
	case ownership.Won:
		t.won(e)
	case ownership.Lost:
		t.lost(e)
	case ownership.Extended:
		for service := range t.dispatch {
			t.dispatchStep(service, dispatch.ExtendOwnership{Now: t.now, Until: e.Until})
		}
	case ownership.OwnerChanged:
		t.owned(e.Owner)
	default:
		panic(fmt.Sprintf("entry: unknown effect %T", e))
	}
}

// written hands the end of a write to the decision that asked for it.
func (t *step) written(m Written) {
	switch r := m.Write.Record.(type) {
	case record.Owner:
		t.memberStep(ownership.WriteResult{Now: t.now, Owner: r, Err: m.Err})
	case record.Claim:
		t.claimWritten(r.Service, m)
	case record.ClaimSegment:
		t.claimWritten(r.Service, m)
	case record.Member, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		panic(fmt.Sprintf("entry: %T is not written here", r))
	}
}

func (t *step) claimWritten(service string, m Written) {
	w := dispatch.WriteResult{
		Now:      t.now,
		Epoch:    m.Write.Epoch,
		Sequence: m.Write.Sequence,
		Revision: m.Revision,
		Err:      m.Err,
	}
	if found, ok := m.Found.(record.Claim); ok {
		w.Found = found
		w.Revision = m.FoundRev
	}
	t.dispatchStep(service, w)
}

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

// step holds the state and the effects during one call of Step.
//
// Frames to this entry instance itself are queued in local, so that a request to a service
// that it owns needs no encoding.
type step struct {
	State
	now     time.Time
	effects []Effect
	local   []message.Frame
}

// Step returns the state after a message and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	t := &step{State: s, now: messageTime(m)}
	if len(t.staticShares) > 0 {
		// The process may have been paused since the last message, so end expired static shares before this one.
		t.updateStaticShares()
	}
	switch m := m.(type) {
	case Event:
		t.onEvent(m.Event)
	case VerifyResult:
		t.ownershipStep(ownership.VerifyResult{Now: m.Now, Service: m.Service, Epoch: m.Epoch, Alive: m.Alive})
	case ReadClaimResult:
		t.onClaimRead(m)
	case WriteResult:
		t.onWriteResult(m)
	case Leave:
		t.ownershipStep(ownership.Leave{Now: m.Now})
	case Tick:
		t.onTick()
	default:
		panic(fmt.Sprintf("entry: unknown message %T", m))
	}
	for len(t.local) > 0 {
		f := t.local[0]
		t.local = t.local[1:]
		t.onFrame(t.self, f)
	}
	return t.State, t.effects
}

// messageTime returns the time that a message carries.
func messageTime(m Message) time.Time {
	switch m := m.(type) {
	case Event:
		return m.Now
	case VerifyResult:
		return m.Now
	case ReadClaimResult:
		return m.Now
	case WriteResult:
		return m.Now
	case Leave:
		return m.Now
	case Tick:
		return m.Now
	default:
		panic(fmt.Sprintf("entry: unknown message %T", m))
	}
}

// NextWake returns when Tick is due, zero for never.
func (s State) NextWake() time.Time {
	wake := s.ownership.NextWake()
	consider := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	consider(s.forward.NextWake())
	for _, d := range s.dispatch {
		consider(d.NextWake())
	}
	for _, e := range s.endedEpochs {
		for _, g := range e.grants {
			consider(g.deadline.Add(gracePeriod))
		}
	}
	if len(s.staticShares) > 0 {
		consider(s.staticShareEnd())
	}
	return wake
}

func (t *step) onEvent(e message.Event) {
	switch e := e.(type) {
	case message.RequestArrived:
		t.onRequest(e.Request)
	case message.SendFinished:
		t.dropBackup(e.ID)
		t.forwardStep(forward.SendFinished{Now: t.now, Result: e})
	case message.RequestCanceled:
		t.dropBackup(e.ID)
		t.forwardStep(forward.RequestCanceled{Now: t.now, ID: e.ID})
	case message.FrameReceived:
		t.onFrame(e.From, e.Frame)
	case message.LinkChanged:
		t.onLinkChanged(e)
	case message.ConfigChanged:
		t.onConfigChanged(e.Fleet)
	case message.RecordChanged:
		t.onRecordChanged(e)
	case message.InstancesListed:
		t.onInstancesListed(e)
	case message.LeaseRenewed:
		t.ownershipStep(ownership.LeaseRenewed{Now: t.now, Incarnation: e.Incarnation, Until: e.Sent.Add(e.TTL - leaseMargin)})
		t.updateStaticShares()
	case message.RenewalFailed:
		t.failedRenewalSent = e.Sent
		t.updateStaticShares()
	case message.InspectInstance:
		t.onInspectInstance(e.Instance)
	default:
		panic(fmt.Sprintf("entry: unknown event %T", e))
	}
}

func (t *step) onTick() {
	t.ownershipStep(ownership.Tick{Now: t.now})
	t.forwardStep(forward.Tick{Now: t.now})
	for service := range t.dispatch {
		t.dispatchStep(service, dispatch.Tick{Now: t.now})
	}
	t.updateEndedEpochs()
	t.updateStaticShares()
}

func (t *step) emit(e Effect) {
	t.effects = append(t.effects, e)
}

// sendFrame sends a frame to an entry instance, which may be this one.
func (t *step) sendFrame(to string, f message.Frame) {
	if to == t.self {
		t.local = append(t.local, f)
		return
	}
	t.emit(SendFrame{To: to, Frame: f})
}

func (t *step) forwardStep(m forward.Message) {
	var effects []forward.Effect
	t.forward, effects = forward.Step(t.forward, m)
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Verdict:
			t.emit(Verdict(e))
		case forward.SendFrame:
			t.sendFrame(e.To, e.Frame)
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
			t.sendFrame(e.To, e.Frame)
		case dispatch.Write:
			t.emit(Write(e))
		case dispatch.Resign:
			t.ownershipStep(ownership.Resign{Now: t.now, Service: service, Epoch: e.Epoch})
		default:
			panic(fmt.Sprintf("entry: unknown effect %T", e))
		}
	}
}

func (t *step) ownershipStep(m ownership.Message) {
	var effects []ownership.Effect
	t.ownership, effects = ownership.Step(t.ownership, m)
	for _, e := range effects {
		t.ownershipEffect(e)
	}
}

func (t *step) ownershipEffect(e ownership.Effect) {
	switch e := e.(type) {
	case ownership.Verify:
		t.emit(Verify(e))
	case ownership.Write:
		t.emit(Write{Record: e.Owner, ExpectedRevision: e.ExpectedRevision, Epoch: e.Owner.Epoch})
	case ownership.Won:
		t.onOwnershipWon(e)
	case ownership.Lost:
		t.onOwnershipLost(e)
	case ownership.ValidityExtended:
		for service := range t.dispatch {
			t.dispatchStep(service, dispatch.ExtendOwnership{Now: t.now, Until: e.Until})
		}
	case ownership.OwnerChanged:
		t.updateOwner(e.Owner)
	default:
		panic(fmt.Sprintf("entry: unknown effect %T", e))
	}
}

// onWriteResult passes the result of a write to the decision that asked for it.
func (t *step) onWriteResult(m WriteResult) {
	switch r := m.Write.Record.(type) {
	case record.Owner:
		t.ownershipStep(ownership.WriteResult{Now: t.now, Owner: r, Err: m.Err})
	case record.Claim:
		t.onClaimWritten(r.Service, m)
	case record.ClaimSegment:
		t.onClaimWritten(r.Service, m)
	case record.Member, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		panic(fmt.Sprintf("entry: result of an unexpected write of %T", r))
	}
}

func (t *step) onClaimWritten(service string, m WriteResult) {
	w := dispatch.WriteResult{
		Now:      t.now,
		Epoch:    m.Write.Epoch,
		Sequence: m.Write.Sequence,
		Revision: m.Revision,
		Err:      m.Err,
	}
	if found, ok := m.Found.(record.Claim); ok {
		w.Found = found
		w.Revision = m.FoundRevision
	}
	t.dispatchStep(service, w)
}

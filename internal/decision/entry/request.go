package entry

import (
	"fmt"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/message"
)

// onRequest resolves the service name of a request and forwards the request.
func (t *step) onRequest(r message.Request) {
	if !t.hasConfig() {
		t.refuse(r, message.Refusal{
			Reason:     message.ReasonNoConfig,
			Detail:     "no configuration was received yet",
			RetryAfter: staticShareDelay,
		})
		return
	}
	result := t.nameIndex.Lookup(correct.Query{Name: r.Name, Fleet: r.Fleet, Idempotent: r.Idempotent})
	t.misspellings = t.misspellings.WithResult(r.Name, result)
	correction := ""
	switch c := result.(type) {
	case correct.Exact:
		r = r.WithService(c.Service)
	case correct.Corrected:
		r = r.WithService(c.Service)
		correction = fmt.Sprintf("%s>%s (%s)", c.From, c.Service, c.Rule)
	case correct.Ambiguous:
		t.refuse(r, message.Refusal{
			Reason:     message.ReasonAmbiguousName,
			Detail:     fmt.Sprintf("service name %q is ambiguous", r.Name),
			Candidates: c.Candidates,
		})
		return
	case correct.Unknown:
		t.refuse(r, message.Refusal{
			Reason:     message.ReasonUnknownName,
			Detail:     fmt.Sprintf("service %q does not exist", r.Name),
			Candidates: c.Suggestions,
		})
		return
	default:
		panic(fmt.Sprintf("entry: unknown result %T", c))
	}
	t.forwardStep(forward.RequestArrived{Now: t.now, Request: r, Correction: correction, Config: t.fleet.Version})
}

func (t *step) refuse(r message.Request, refusal message.Refusal) {
	t.emit(Verdict{
		ID:      r.ID,
		Verdict: message.Refuse{Refusal: refusal, Config: t.fleet.Version},
		Last:    true,
	})
}

// onFrame passes a frame to the decision that handles it.
func (t *step) onFrame(from string, f message.Frame) {
	switch f := f.(type) {
	case message.GrantRequest:
		t.onGrantRequest(from, f)
	case message.Release:
		t.onRelease(from, f)
	case message.Withdraw:
		t.dispatchStep(f.Service, dispatch.Withdraw{Now: t.now, ID: f.ID})
	case message.HeldGrants:
		t.onHeldGrants(from, f)
	case message.Grant:
		t.onGrant(from, f)
	case message.Deny:
		t.forwardStep(forward.DenyReceived{Now: t.now, Deny: f})
	case message.GatherGrants:
		t.onGather(from, f)
	case message.FetchAnswer:
		t.forwardStep(forward.FetchReceived{Now: t.now, From: from, Fetch: f})
	case message.StoredAnswer:
		t.forwardStep(forward.AnswerReceived{Now: t.now, Answer: f})
	case message.EpochCleared:
		t.onEpochCleared(f)
	case message.Resync:
		t.onResync(from, f)
	case message.BackupGrant:
		t.storeBackup(f)
	case message.DropBackup:
		t.backups = copymap.Without(t.backups, f.ID)
	case message.LoadRequest:
		t.onLoadRequest(from, f)
	case message.LoadReport:
		t.loadReports = copymap.With(t.loadReports, f.Service, loadReport{at: t.now, loads: f.Loads})
	default:
		panic(fmt.Sprintf("entry: unknown frame %T", f))
	}
}

// onGrantRequest queues a request, or denies the grant if this entry instance does not own the service.
func (t *step) onGrantRequest(from string, f message.GrantRequest) {
	r := f.Request.WithDeadline(t.now.Add(f.Left))
	if _, ok := t.dispatch[r.Service]; ok {
		t.dispatchStep(r.Service, dispatch.GrantRequest{Now: t.now, From: from, Request: r, Exclude: f.Exclude})
		return
	}
	o, _ := t.ownership.Owner(r.Service)
	t.sendFrame(from, message.Deny{
		ID:      r.ID,
		Service: r.Service,
		Epoch:   o.Epoch,
		Refusal: message.Refusal{Reason: message.ReasonNoOwner},
	})
}

// onRelease frees the slot of a grant, which may be of the current epoch or of an ended one.
func (t *step) onRelease(from string, f message.Release) {
	t.dispatchStep(f.Service, dispatch.Release{Now: t.now, From: from, Release: f})
	e, ok := t.endedEpochs[f.Service]
	if !ok {
		return
	}
	e.grants = copymap.Without(e.grants, f.ID)
	t.endedEpochs = copymap.With(t.endedEpochs, f.Service, e)
	t.updateEndedEpochs()
}

func (t *step) onHeldGrants(from string, f message.HeldGrants) {
	if ownedEpoch, ok := t.ownership.Owns(f.Service, t.now); !ok || ownedEpoch != f.Epoch {
		return
	}
	t.dispatchStep(f.Service, dispatch.HeldGrants{Now: t.now, From: from, Sequence: f.Sequence, Grants: f.Grants})
}

// onGrant uses a grant if the lease of this entry instance is known to be valid, and otherwise returns it.
//
// A later owner does not gather from a member whose lease has expired, so a process that
// was paused must not use a grant that arrived during the pause.
func (t *step) onGrant(from string, g message.Grant) {
	if t.now.Before(t.ownership.LeaseValidUntil()) {
		t.forwardStep(forward.GrantReceived{Now: t.now, From: from, Grant: g})
		t.sendBackup(g)
		return
	}
	t.sendFrame(from, message.Release{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: message.NotRun,
	})
	t.forwardStep(forward.DenyReceived{Now: t.now, Deny: message.Deny{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Refusal: message.Refusal{Reason: message.ReasonNoOwner},
	}})
}

// onLoadRequest reports the grants in flight of a service if this entry instance owns it.
func (t *step) onLoadRequest(from string, f message.LoadRequest) {
	if _, ok := t.ownership.Owns(f.Service, t.now); !ok {
		return
	}
	if d, ok := t.dispatch[f.Service]; ok {
		t.sendFrame(from, message.LoadReport{Service: f.Service, Loads: d.Loads()})
	}
}

// onResync gathers again from a member if this entry instance owns the epoch.
func (t *step) onResync(from string, f message.Resync) {
	if ownedEpoch, ok := t.ownership.Owns(f.Service, t.now); ok && ownedEpoch == f.Epoch {
		t.dispatchStep(f.Service, dispatch.LinkRestored{Now: t.now, Entry: from})
	}
}

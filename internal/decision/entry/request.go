package entry

import (
	"fmt"

	"teaselloft/internal/core/copymap"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/model/message"
)

// arrive corrects the name of a request and forwards it.
func (t *step) arrive(r message.Request) {
	if !t.configured() {
		t.refuse(r, message.Refusal{
			Reason:     message.ReasonNoConfig,
			Detail:     "no configuration was received yet",
			RetryAfter: staticDelay,
		})
		return
	}
	result := t.index.Lookup(correct.Query{Name: r.Name, Fleet: r.Fleet, Idempotent: r.Idempotent})
	t.counts = t.counts.WithResult(r.Name, result)
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
			Candidates: c.Near,
		})
		return
	default:
		panic(fmt.Sprintf("entry: unknown result %T", c))
	}
	t.forwardStep(forward.Arrive{Now: t.now, Request: r, Correction: correction, Config: t.fleet.Version})
}

func (t *step) refuse(r message.Request, refusal message.Refusal) {
	t.emit(Verdict{
		ID:      r.ID,
		Verdict: message.Refuse{Refusal: refusal, Config: t.fleet.Version},
		Last:    true,
	})
}

// receive hands a frame to the decision that it is for.
func (t *step) receive(from string, f message.Frame) {
	switch f := f.(type) {
	case message.GrantRequest:
		t.asked(from, f)
	case message.Release:
		t.released(from, f)
	case message.Withdraw:
		t.dispatchStep(f.Service, dispatch.Withdraw{Now: t.now, ID: f.ID})
	case message.HeldGrants:
		t.holding(from, f)
	case message.Grant:
		t.granted(from, f)
	case message.Deny:
		t.forwardStep(forward.Denied{Now: t.now, Deny: f})
	case message.GatherGrants:
		t.gathered(from, f)
	case message.FetchAnswer:
		t.forwardStep(forward.Fetched{Now: t.now, From: from, Fetch: f})
	case message.StoredAnswer:
		t.forwardStep(forward.Stored{Now: t.now, Stored: f})
	case message.EpochCleared:
		t.noteCleared(f)
	case message.Resync:
		t.resync(from, f)
	case message.BackupGrant:
		t.keepBackup(f)
	case message.DropBackup:
		t.backups = copymap.Without(t.backups, f.ID)
	case message.LoadRequest:
		t.inquired(from, f)
	case message.LoadReport:
		t.reports = copymap.With(t.reports, f.Service, report{at: t.now, loads: f.Loads})
	default:
		panic(fmt.Sprintf("entry: unknown frame %T", f))
	}
}

// asked queues a request, or says that this entry instance does not own the service.
func (t *step) asked(from string, f message.GrantRequest) {
	r := f.Request.WithDeadline(t.now.Add(f.Left))
	if _, ok := t.dispatch[r.Service]; ok {
		t.dispatchStep(r.Service, dispatch.GrantRequest{Now: t.now, From: from, Request: r, Exclude: f.Exclude})
		return
	}
	o, _ := t.member.Owner(r.Service)
	t.frame(from, message.Deny{
		ID:      r.ID,
		Service: r.Service,
		Epoch:   o.Epoch,
		Refusal: message.Refusal{Reason: message.ReasonNoOwner},
	})
}

func (t *step) released(from string, f message.Release) {
	t.dispatchStep(f.Service, dispatch.Release{Now: t.now, From: from, Release: f})
	e, ok := t.clearing[f.Service]
	if !ok {
		return
	}
	e.grants = copymap.Without(e.grants, f.ID)
	t.clearing = copymap.With(t.clearing, f.Service, e)
	t.updateClearing()
}

func (t *step) holding(from string, f message.HeldGrants) {
	if epoch, ok := t.member.Owns(f.Service, t.now); !ok || epoch != f.Epoch {
		return
	}
	t.dispatchStep(f.Service, dispatch.HeldGrants{Now: t.now, From: from, Sequence: f.Sequence, Grants: f.Grants})
}

// granted uses a grant while this entry instance's own lease is proved.
//
// A later owner does not gather from a member whose lease has expired, so a
// process that was paused must not use a grant that waited for it.
func (t *step) granted(from string, g message.Grant) {
	if t.now.Before(t.member.LeaseValidUntil()) {
		t.forwardStep(forward.Granted{Now: t.now, From: from, Grant: g})
		t.backUp(g)
		return
	}
	t.frame(from, message.Release{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Executor: g.Executor.ID, Outcome: message.NotRun,
	})
	t.forwardStep(forward.Denied{Now: t.now, Deny: message.Deny{
		ID: g.ID, Service: g.Service, Epoch: g.Epoch, Refusal: message.Refusal{Reason: message.ReasonNoOwner},
	}})
}

// inquired reports the grants in flight of a service that this entry instance owns and may grant.
func (t *step) inquired(from string, f message.LoadRequest) {
	if _, ok := t.member.Owns(f.Service, t.now); !ok {
		return
	}
	if d, ok := t.dispatch[f.Service]; ok {
		t.frame(from, message.LoadReport{Service: f.Service, Loads: d.Loads()})
	}
}

// resync gathers again from a member of the epoch that this entry instance owns.
func (t *step) resync(from string, f message.Resync) {
	if epoch, ok := t.member.Owns(f.Service, t.now); ok && epoch == f.Epoch {
		t.dispatchStep(f.Service, dispatch.LinkRestored{Now: t.now, Entry: from})
	}
}

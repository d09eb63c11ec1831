package dispatch

import (
	"fmt"
	"time"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/retry"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"

	"github.com/fxamacker/cbor/v2"
)

// owner runs the dispatch decision at entry instance 0.
type owner struct {
	*simulation
	state   dispatch.State
	jobs    map[message.ID]*job
	wake    time.Time
	budgets []retry.Budget
	down    map[string]bool // executors that the instance list shows as gone
}

func newOwner(s *simulation, o dispatch.Options) *owner {
	p := &owner{
		simulation: s,
		state:      dispatch.New("s", o),
		jobs:       map[message.ID]*job{},
		down:       map[string]bool{},
	}
	p.limit(retry.New(retry.DefaultRatio, retry.DefaultBurst))
	p.configure()
	p.step(dispatch.ExtendOwnership{Now: s.now, Until: s.now.Add(24 * time.Hour)})
	p.step(dispatch.Start{Now: s.now, Epoch: 1, Self: entryName(0)})
	p.step(dispatch.WriteResult{Now: s.now, Epoch: 1, Sequence: 1, Revision: 1})
	p.step(dispatch.HeldGrants{Now: s.now, From: entryName(0)})
	s.failed = p.retry
	return p
}

// limit gives every entry instance the retry budget.
func (p *owner) limit(b retry.Budget) {
	p.budgets = make([]retry.Budget, p.entries)
	for i := range p.budgets {
		p.budgets[i] = b
	}
}

func (p *owner) configure() {
	var list []dispatch.Candidate
	for _, w := range p.workers {
		list = append(list, dispatch.Candidate{Executor: w.target, Available: !p.down[w.target.ID]})
	}
	p.step(dispatch.Configure{Now: p.now, Service: fleet.Service{Name: "s", Slots: slots}, Executors: list})
}

func (p *owner) step(m dispatch.Message) {
	var effects []dispatch.Effect
	p.state, effects = dispatch.Step(p.state, m)
	for _, e := range effects {
		if r, ok := e.(dispatch.SendFrame); ok {
			p.reply(r)
		}
	}
	next := p.state.NextWake()
	if !next.IsZero() && (p.wake.IsZero() || next.Before(p.wake)) {
		p.wake = next
		p.after(next.Sub(p.now), func() {
			if p.wake.Equal(next) {
				p.wake = time.Time{}
				p.step(dispatch.Tick{Now: p.now})
			}
		})
	}
}

// frame carries a frame between an entry instance and the owner.
func (p *owner) frame(entry int, f message.Frame, do func()) {
	if entry == 0 {
		do()
		return
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", f, err))
	}
	p.frames++
	p.bytes += len(data)
	p.after(p.delay(zoneName(entry%p.site.zones), zoneName(0)), do)
}

func (p *owner) arrive(j *job) {
	j.ahead = p.longShare()
	p.budgets[j.entry] = p.budgets[j.entry].WithRequest()
	p.ask(j)
}

func (p *owner) ask(j *job) {
	p.jobs[j.request.ID] = j
	left := j.request.Deadline.Sub(p.now)
	p.frame(j.entry, message.GrantRequest{Request: j.request, Left: left, Exclude: j.failed}, func() {
		r := j.request.WithDeadline(p.now.Add(left))
		p.step(dispatch.GrantRequest{Now: p.now, From: r.ID.Entry, Request: r, Exclude: j.failed})
	})
}

func (p *owner) reply(r dispatch.SendFrame) {
	switch f := r.Frame.(type) {
	case message.Grant:
		j := p.jobs[f.ID]
		p.frame(j.entry, f, func() { p.send(j, p.worker(f.Executor.ID)) })
	case message.Deny:
		p.refused++
		p.frame(p.jobs[f.ID].entry, f, func() {})
		delete(p.jobs, f.ID)
	case message.GatherGrants:
	case message.GrantRequest, message.Release, message.Withdraw, message.HeldGrants, message.Resync, message.EpochCleared, message.BackupGrant, message.DropBackup, message.LoadRequest, message.LoadReport, message.FetchAnswer, message.StoredAnswer:
		panic(fmt.Sprintf("the owner sends %T", f))
	default:
		panic(fmt.Sprintf("unknown frame %T", f))
	}
}

func (p *owner) ended(j *job, w *worker) {
	delete(p.jobs, j.request.ID)
	if j.cut() {
		p.release(j, w, message.Unknown)
		return
	}
	p.release(j, w, message.Answered)
}

func (p *owner) release(j *job, w *worker, o message.Outcome) {
	id := j.request.ID
	r := message.Release{ID: id, Service: "s", Epoch: 1, Executor: w.target.ID, Outcome: o, RunTime: j.held()}
	p.frame(j.entry, r, func() { p.step(dispatch.Release{Now: p.now, From: id.Entry, Release: r}) })
}

// retry asks again for a failed send while the budget lasts.
func (p *owner) retry(j *job, w *worker) {
	p.release(j, w, message.Unknown)
	var again bool
	p.budgets[j.entry], again = p.budgets[j.entry].Decide(retry.Attempt{
		Now: p.now, Deadline: j.request.Deadline, Idempotent: true, Outcome: message.Unknown,
	})
	if !again {
		return
	}
	j.failed = append(j.failed, w.target.ID)
	p.ask(j)
}

package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"

	"github.com/cenkalti/backoff/v5"
)

var (
	errBroken  = errors.New("link broke")
	errGivenUp = errors.New("link was given up")
)

// peer is the writer duty of one entry instance; its goroutine alone uses the fields below the ring.
type peer struct {
	link    *link
	name    string
	frames  *ring.Ring[message.Frame]
	renew   chan struct{}
	updates *ring.Ring[update]
	cancel  context.CancelFunc
	given   atomic.Bool // frames that still wait are lost

	session *session // nil while there is no link
	failed  bool     // the routing duty knows that the link is down
	retry   *time.Timer
	pauses  *backoff.ExponentialBackOff
}

// open asks the writer to open a new link.
func (p *peer) open() {
	select {
	case p.renew <- struct{}{}:
	default: // it has been asked already
	}
}

// run writes frames in order; while the link is down it dials again, so that the routing duty learns when it is up.
//
// The end of ctx does not cancel a dial or a write, which have time limits of their own: a frame in hand is still sent.
func (p *peer) run(ctx context.Context) {
	p.retry = stopped()
	p.pauses = backoff.NewExponentialBackOff()
	p.pauses.InitialInterval, p.pauses.MaxInterval = firstPause, lastPause
	idle := time.NewTimer(p.link.settings.Idle.Value())
	defer idle.Stop()
	defer p.finish()
	for {
		select {
		case f := <-p.frames.Items():
			idle.Reset(p.link.settings.Idle.Value())
			p.deliver(f)
		case <-p.lost():
			p.down(errBroken)
		case <-p.retry.C:
			p.connect()
		case <-p.renew:
			p.reopen()
		case <-idle.C:
			idle.Reset(p.link.settings.Idle.Value())
			if !p.failed {
				_ = p.updates.Push(ctx, unused{peer: p})
			}
		case <-ctx.Done():
			return
		}
	}
}

// stopped returns a timer that does not run.
func stopped() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// lost returns a channel that closes when the open link breaks.
func (p *peer) lost() <-chan struct{} {
	if p.session == nil {
		return nil
	}
	return p.session.broken
}

// deliver writes a frame, opening a link if there is none; a frame that is not written is counted as lost.
func (p *peer) deliver(f message.Frame) {
	if p.session == nil && (p.failed || !p.connect()) {
		p.link.meters.lost.Inc(1)
		return
	}
	if p.link.cuts.to(p.name) {
		p.link.meters.cut.Inc(1)
		return
	}
	data, err := Encode(f, time.Now())
	if err != nil {
		p.link.meters.oversized.Inc(1)
		p.link.log.Error("frame cannot be sent", "event", "entry.oversized", "peer", p.name, "error", err)
	} else {
		err = p.session.write(data)
	}
	if err != nil {
		p.link.meters.lost.Inc(1)
		p.down(err)
		return
	}
	p.link.meters.sent.Inc(1)
	p.link.meters.bytes.Inc(int64(len(data)))
}

// connect dials and reports whether the link is up.
func (p *peer) connect() bool {
	p.link.meters.dials.Inc(1)
	s, err := p.link.dial(p.name)
	if err != nil {
		p.link.meters.failed.Inc(1)
		p.down(err)
		return false
	}
	p.session, p.failed = s, false
	p.retry.Stop()
	p.pauses.Reset()
	p.link.log.Debug("link is up", "event", "entry.up", "peer", p.name)
	p.link.report(message.LinkChanged{Entry: p.name, Incarnation: s.hello.Target, Up: true})
	return true
}

// down drops the link, reports it and plans the next attempt.
func (p *peer) down(cause error) {
	if p.session != nil {
		p.link.meters.broken.Inc(1)
		p.session.close()
		p.session = nil
	}
	p.failed = true
	p.retry.Reset(p.pauses.NextBackOff())
	p.report(cause)
}

func (p *peer) report(cause error) {
	member, _ := p.link.directory.Load().Member(p.name)
	p.link.log.Info("link is down", "event", "entry.down", "peer", p.name, "error", cause)
	p.link.report(message.LinkChanged{Entry: p.name, Incarnation: member.Incarnation, Up: false})
}

// reopen replaces the link after a change of one of its ends; everything written before still arrives.
func (p *peer) reopen() {
	if p.session == nil && !p.failed {
		return
	}
	p.drain()
	p.connect()
}

// drain closes the link so that everything written arrives; otherwise it reports the link as down.
func (p *peer) drain() {
	if p.session == nil {
		return
	}
	err := p.session.drain()
	p.session = nil
	if err != nil {
		p.link.meters.broken.Inc(1)
		p.report(err)
	}
}

// finish ends the writer: it sends what waits, or reports the link as down when it is given up.
func (p *peer) finish() {
	p.retry.Stop()
	if p.given.Load() {
		p.link.meters.lost.Inc(int64(p.frames.Len()))
		if p.session != nil {
			p.session.close()
		}
		p.report(errGivenUp)
		return
	}
	for p.frames.Len() > 0 {
		p.deliver(<-p.frames.Items())
	}
	p.drain()
	p.retry.Stop()
}

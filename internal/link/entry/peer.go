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
	errBroken    = errors.New("link closed or no pong received")
	errAbandoned = errors.New("link abandoned")
)

// peer is the writer duty for one entry instance. Only its goroutine uses the fields after the blank line.
type peer struct {
	link        *link
	name        string
	frames      *ring.Ring[message.Frame]
	reconnectCh chan struct{}
	updates     *ring.Ring[update]
	cancel      context.CancelFunc
	abandoned   atomic.Bool // frames that are still queued are lost

	outgoing     *outgoing // nil while no link is open
	reportedDown bool      // the last report to the routing duty said that the link is down
	retryTimer   *time.Timer
	backoff      *backoff.ExponentialBackOff
}

// requestReconnect asks the writer to replace its link.
func (p *peer) requestReconnect() {
	select {
	case p.reconnectCh <- struct{}{}:
	default: // a request is already pending
	}
}

// run writes frames in order. After a failure it redials with backoff even when no frame is queued, so that the routing
// duty learns when the peer is reachable again.
//
// Canceling ctx does not cancel a dial or a write, which have timeouts of their own: the current frame is still sent.
func (p *peer) run(ctx context.Context) {
	p.retryTimer = newStoppedTimer()
	p.backoff = backoff.NewExponentialBackOff()
	p.backoff.InitialInterval, p.backoff.MaxInterval = minBackoff, maxBackoff
	idle := time.NewTimer(p.link.settings.IdleTimeout.Value())
	defer idle.Stop()
	defer p.finish()
	for {
		select {
		case f := <-p.frames.Items():
			idle.Reset(p.link.settings.IdleTimeout.Value())
			p.deliver(f)
		case <-p.broken():
			p.linkDown(errBroken)
		case <-p.retryTimer.C:
			p.connect()
		case <-p.reconnectCh:
			p.reconnect()
		case <-idle.C:
			idle.Reset(p.link.settings.IdleTimeout.Value())
			if !p.reportedDown {
				_ = p.updates.Push(ctx, peerIdle{peer: p})
			}
		case <-ctx.Done():
			return
		}
	}
}

// newStoppedTimer returns a timer that is not running.
func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// broken returns a channel that is closed when the open link fails.
func (p *peer) broken() <-chan struct{} {
	if p.outgoing == nil {
		return nil
	}
	return p.outgoing.broken
}

// deliver writes a frame, after opening a link if none is open. A frame that is not written is counted as lost.
func (p *peer) deliver(f message.Frame) {
	if p.outgoing == nil && (p.reportedDown || !p.connect()) {
		p.link.meters.lost.Inc(1)
		return
	}
	if p.link.partitions.dropsTo(p.name) {
		p.link.meters.partitioned.Inc(1)
		return
	}
	data, err := Encode(f, time.Now())
	if err != nil {
		p.link.meters.oversized.Inc(1)
		p.link.log.Error("frame cannot be sent", "event", "entry.oversized", "peer", p.name, "error", err)
	} else {
		err = p.outgoing.write(data)
	}
	if err != nil {
		p.link.meters.lost.Inc(1)
		p.linkDown(err)
		return
	}
	p.link.meters.sent.Inc(1)
	p.link.meters.bytes.Inc(int64(len(data)))
}

// connect opens a link and reports whether it succeeded.
func (p *peer) connect() bool {
	p.link.meters.dials.Inc(1)
	o, err := p.link.dial(p.name)
	if err != nil {
		p.link.meters.dialsFailed.Inc(1)
		p.linkDown(err)
		return false
	}
	p.outgoing, p.reportedDown = o, false
	p.retryTimer.Stop()
	p.backoff.Reset()
	p.link.log.Debug("link is up", "event", "entry.up", "peer", p.name)
	p.link.report(message.LinkChanged{Entry: p.name, Incarnation: o.hello.Target, Up: true})
	return true
}

// linkDown closes the link, reports it as down and schedules the next attempt.
func (p *peer) linkDown(cause error) {
	if p.outgoing != nil {
		p.link.meters.broken.Inc(1)
		p.outgoing.close()
		p.outgoing = nil
	}
	p.reportedDown = true
	p.retryTimer.Reset(p.backoff.NextBackOff())
	p.reportDown(cause)
}

// reportDown tells the routing duty that the link is down.
func (p *peer) reportDown(cause error) {
	member, _ := p.link.directory.Load().Member(p.name)
	p.link.log.Info("link is down", "event", "entry.down", "peer", p.name, "error", cause)
	p.link.report(message.LinkChanged{Entry: p.name, Incarnation: member.Incarnation, Up: false})
}

// reconnect replaces the link after the member record of one of its ends changed. The old link is drained first, so
// that frames written to it are not overtaken.
func (p *peer) reconnect() {
	if p.outgoing == nil && !p.reportedDown {
		return
	}
	p.drain()
	p.connect()
}

// drain closes the link after the peer has read everything written, or reports it as down if that fails.
func (p *peer) drain() {
	if p.outgoing == nil {
		return
	}
	err := p.outgoing.drain()
	p.outgoing = nil
	if err != nil {
		p.link.meters.broken.Inc(1)
		p.reportDown(err)
	}
}

// finish sends the queued frames and closes the link. If the peer was abandoned, it counts them as lost and reports the
// link as down.
func (p *peer) finish() {
	p.retryTimer.Stop()
	if p.abandoned.Load() {
		p.link.meters.lost.Inc(int64(p.frames.Len()))
		if p.outgoing != nil {
			p.outgoing.close()
		}
		p.reportDown(errAbandoned)
		return
	}
	for p.frames.Len() > 0 {
		p.deliver(<-p.frames.Items())
	}
	p.drain()
	p.retryTimer.Stop()
}

package entry

import (
	"context"
	"fmt"
	"sync"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"

	"github.com/rcrowley/go-metrics"
)

// update is a change to the set of peers.
//
//sumtype:decl
type update interface{ update() }

// memberChanged means that a member record is new or has another incarnation or address.
type memberChanged struct{ entry string }

// memberDeleted means that a member record was deleted.
type memberDeleted struct{ entry string }

// peerIdle means that a peer had no frame to send for the idle timeout.
type peerIdle struct{ peer *peer }

func (memberChanged) update() {}
func (memberDeleted) update() {}
func (peerIdle) update()      {}

// sender is the duty that queues each frame for the writer of its peer.
type sender struct {
	link    *link
	frames  *ring.Ring[message.OutgoingFrame]
	updates *ring.Ring[update]
	peers   map[string]*peer
	writers sync.WaitGroup
}

func (s *sender) run(ctx context.Context) error {
	defer s.stop()
	for {
		select {
		case o := <-s.frames.Items():
			s.applyPending()
			s.enqueue(ctx, o)
		case u := <-s.updates.Items():
			s.apply(u)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// applyPending applies the queued updates, so that changes published before a frame was queued are applied before it
// is sent.
func (s *sender) applyPending() {
	for s.updates.Len() > 0 {
		s.apply(<-s.updates.Items())
	}
}

// stop waits until the writers have sent the frames that were queued before the shutdown.
func (s *sender) stop() {
	s.link.cancel()
	s.applyPending()
	for s.frames.Len() > 0 {
		s.enqueue(context.Background(), <-s.frames.Items())
	}
	for _, p := range s.peers {
		p.cancel()
	}
	s.writers.Wait()
}

// enqueue queues a frame for its peer. If the peer's queue is full, the peer is dropped, so that the link is reported
// as down and the loss of the frame is known.
func (s *sender) enqueue(ctx context.Context, o message.OutgoingFrame) {
	p, ok := s.peers[o.To]
	if !ok {
		p = s.startPeer(o.To)
	}
	if err := p.frames.Push(ctx, o.Frame); err != nil {
		s.link.meters.lost.Inc(1)
		s.link.log.Warn("dropping a slow link: its queue is full", "event", "entry.slow", "peer", o.To, "error", err)
		s.dropPeer(p)
	}
}

func (s *sender) startPeer(name string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{
		link:        s.link,
		name:        name,
		frames:      ring.New[message.Frame]("entry.peer", peerCapacity, ring.Refuse, metrics.NewRegistry()),
		reconnectCh: make(chan struct{}, 1),
		updates:     s.updates,
		cancel:      cancel,
	}
	s.peers[name] = p
	s.writers.Go(func() { p.run(ctx) })
	return p
}

// dropPeer stops a peer's writer, which discards the queued frames and reports the link as down.
func (s *sender) dropPeer(p *peer) {
	p.abandoned.Store(true)
	p.cancel()
	delete(s.peers, p.name)
}

func (s *sender) apply(u update) {
	switch u := u.(type) {
	case memberChanged:
		s.reconnectPeers(u.entry)
	case memberDeleted:
		if p, ok := s.peers[u.entry]; ok {
			s.dropPeer(p)
		}
	case peerIdle:
		if s.peers[u.peer.name] == u.peer && u.peer.frames.Len() == 0 {
			u.peer.cancel()
			delete(s.peers, u.peer.name)
		}
	default:
		panic(fmt.Sprintf("entry: update %T is not handled", u))
	}
}

// reconnectPeers replaces the links of an entry instance after its member record changed; a change of this entry
// instance's own record replaces all links.
func (s *sender) reconnectPeers(entry string) {
	for name, p := range s.peers {
		if name == entry || entry == s.link.self {
			p.requestReconnect()
		}
	}
}

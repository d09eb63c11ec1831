package entry

import (
	"context"
	"fmt"
	"sync"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"

	"github.com/rcrowley/go-metrics"
)

// update is a change of the peers.
//
//sumtype:decl
type update interface{ update() }

// joined says that a member record is new or has another incarnation or address.
type joined struct{ entry string }

// left says that a member record was deleted.
type left struct{ entry string }

// unused says that a peer had no frame for the idle time.
type unused struct{ peer *peer }

func (joined) update() {}
func (left) update()   {}
func (unused) update() {}

// switchboard is the duty that hands each frame to the writer of its peer.
type switchboard struct {
	link    *link
	frames  *ring.Ring[message.OutgoingFrame]
	updates *ring.Ring[update]
	peers   map[string]*peer
	writers sync.WaitGroup
}

func (w *switchboard) run(ctx context.Context) error {
	defer w.stop()
	for {
		select {
		case o := <-w.frames.Items():
			w.catchUp()
			w.hand(ctx, o)
		case u := <-w.updates.Items():
			w.apply(u)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// catchUp applies the changes that were published before a frame was handed over.
func (w *switchboard) catchUp() {
	for w.updates.Len() > 0 {
		w.apply(<-w.updates.Items())
	}
}

// stop lets the writers send the frames that were handed over before the stop.
func (w *switchboard) stop() {
	w.link.end()
	w.catchUp()
	for w.frames.Len() > 0 {
		w.hand(context.Background(), <-w.frames.Items())
	}
	for _, p := range w.peers {
		p.cancel()
	}
	w.writers.Wait()
}

// hand passes a frame to its peer; a peer that does not keep up is given up, so that the frame's loss is known.
func (w *switchboard) hand(ctx context.Context, o message.OutgoingFrame) {
	p, ok := w.peers[o.To]
	if !ok {
		p = w.start(o.To)
	}
	if err := p.frames.Push(ctx, o.Frame); err != nil {
		w.link.meters.lost.Inc(1)
		w.link.log.Warn("giving up a slow link", "event", "entry.slow", "peer", o.To, "error", err)
		w.end(p)
	}
}

func (w *switchboard) start(name string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{
		link:    w.link,
		name:    name,
		frames:  ring.New[message.Frame]("entry.peer", peerCapacity, ring.Refuse, metrics.NewRegistry()),
		renew:   make(chan struct{}, 1),
		updates: w.updates,
		cancel:  cancel,
	}
	w.peers[name] = p
	w.writers.Go(func() { p.run(ctx) })
	return p
}

// end stops a peer's writer, which reports the link as down.
func (w *switchboard) end(p *peer) {
	p.given.Store(true)
	p.cancel()
	delete(w.peers, p.name)
}

func (w *switchboard) apply(u update) {
	switch u := u.(type) {
	case joined:
		w.renew(u.entry)
	case left:
		if p, ok := w.peers[u.entry]; ok {
			w.end(p)
		}
	case unused:
		if w.peers[u.peer.name] == u.peer && u.peer.frames.Len() == 0 {
			u.peer.cancel()
			delete(w.peers, u.peer.name)
		}
	default:
		panic(fmt.Sprintf("entry: update %T is not handled", u))
	}
}

// renew makes links open again under the new incarnations of their ends.
func (w *switchboard) renew(entry string) {
	for name, p := range w.peers {
		if name == entry || entry == w.link.self {
			p.open()
		}
	}
}

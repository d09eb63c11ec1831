package dispatch

import (
	"errors"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// askClaim queues a non-idempotent request if its key is free or its own.
func (s State) askClaim(t ticket) (State, []Effect) {
	c, ok := s.claims.Get(t.hash)
	if ok && c.Time < s.oldest().UnixMilli() {
		ok = false
	}
	own := ok && c.holds(t.request.ID) && c.Entry == t.from
	switch {
	case own && c.stored && (c.unused || s.unsent(t, c)):
		c.unused = false
		return s.admitClaimed(t, c)
	case !ok || c.unused:
		return s.admitClaiming(t)
	default:
		return s, []Effect{s.denyDuplicate(t.from, t.request.ID, c.Entry)}
	}
}

// unsent reports whether a claimed request that is asked again has certainly not been sent.
//
// Its entry instance reported its grants in this epoch without it and refuses
// older ones from then on, so it asks because it has not sent the request. While
// grants wait for its report the request may queue: a report that lists it takes it out.
func (s State) unsent(t ticket, c claim) bool {
	m, known := s.member(t.from)
	awaited := s.phase == gathering && m.needed
	return !c.ended && known && (m.answered || awaited)
}

// admitClaimed queues a ticket whose claim is in the store.
func (s State) admitClaimed(t ticket, c claim) (State, []Effect) {
	if r, refused := s.refuse(t); refused {
		return s, []Effect{s.deny(t.from, t.request.ID, r)}
	}
	s.claims = s.claims.WithChanged(c)
	return s.withTicket(t), nil
}

// admitClaiming queues a ticket until the next write has claimed its key.
func (s State) admitClaiming(t ticket) (State, []Effect) {
	if s.now.Before(s.retryAt) {
		return s, []Effect{s.deny(t.from, t.request.ID, refusal(message.ReasonNoClaim, s.options.Backoff))}
	}
	if r, refused := s.refuse(t); refused {
		return s, []Effect{s.deny(t.from, t.request.ID, r)}
	}
	t.claiming = true
	s.claims = s.claims.With(claim{ClaimEntry: claimed(t, s.now)})
	s.waiting = s.waiting.Append(t.request.ID)
	return s.withTicket(t), nil
}

func (s State) oldest() time.Time {
	return s.now.Add(-s.options.Retention)
}

// withUnused returns a copy that knows that the request did not run and has no grant.
func (s State) withUnused(hash string, id message.ID) State {
	if c, ok := s.claims.Get(hash); ok && c.holds(id) && !c.ended {
		c.unused = true
		s.claims = s.claims.WithChanged(c)
	}
	return s
}

// withEnded returns a copy that knows that the granted request may have run.
func (s State) withEnded(g grant) State {
	if c, ok := s.claims.Get(g.hash); ok && c.holds(g.id) {
		c.ended = true
		s.claims = s.claims.WithChanged(c)
	}
	return s
}

// withHeldClaim returns a copy in which the key of a reported grant is claimed.
func (s State) withHeldClaim(g grant) State {
	c, ok := s.claims.Get(g.hash)
	if ok && c.holds(g.id) {
		c.unused = false
		s.claims = s.claims.WithChanged(c)
		return s
	}
	s.claims = s.claims.With(claim{ClaimEntry: record.ClaimEntry{
		Hash:    g.hash,
		Entry:   g.from,
		Request: g.id.String(),
		Time:    s.now.UnixMilli(),
	}})
	s.repeat = true
	return s
}

// flush begins the next write if one is needed and none is in flight.
func (s State) flush() (State, []Effect) {
	if s.phase == idle || s.writing.active || s.now.Before(s.retryAt) || !s.stale() {
		return s, nil
	}
	s.writes++
	var v value
	s.claims, v = s.claims.WithValue(s.oldest())
	if s.written && s.claims.size > s.options.ClaimSize {
		if g, rec := s.roll(v); len(rec.Entries) > 0 {
			s.writing = writing{active: true, segment: g, tickets: immutable.NewList[message.ID]()}
			return s, []Effect{s.write(rec, 0)}
		}
	}
	w := writing{active: true, tickets: s.waiting, fresh: v.fresh}
	s.claims, w.dropped = s.claims.WithoutSegments(s.oldest())
	w.claim = record.Claim{
		Service:  s.service.Name,
		Epoch:    s.epoch,
		Sequence: s.writes,
		Entries:  v.entries,
		Segments: s.claims.Keys(),
	}
	s.writing = w
	s.waiting = immutable.NewList[message.ID]()
	s.repeat = false
	return s, []Effect{s.write(w.claim, s.revision)}
}

// stale reports whether the store lacks something.
func (s State) stale() bool {
	return !s.written || s.repeat || s.waiting.Len() > 0
}

func (s State) write(r record.Record, expected int64) Write {
	return Write{Record: r, Expected: expected, Epoch: s.epoch, Sequence: s.writes}
}

// segmentNumbers is the number of segments that one epoch may write.
const segmentNumbers = 1 << 32

// roll returns a segment of the stored claims of the claim value.
func (s State) roll(v value) (segment, record.ClaimSegment) {
	rec := record.ClaimSegment{Service: s.service.Name, Number: s.epoch*segmentNumbers + s.writes}
	g := segment{keys: []string{rec.Key()}, newest: s.now}
	for _, e := range v.entries {
		if c, _ := s.claims.Get(e.Hash); c.stored {
			rec.Entries = append(rec.Entries, e)
			g.hashes = append(g.hashes, e.Hash)
		}
	}
	return g, rec
}

func (s State) finishWrite(m Written) (State, []Effect) {
	if s.phase == idle || !s.writing.active || m.Epoch != s.epoch || m.Sequence != s.writes {
		return s, nil
	}
	switch {
	case m.Err == nil:
		return s.committed(m)
	case errors.Is(m.Err, message.ErrConflict) && s.writing.segment.keys == nil:
		return s.conflicted(m)
	default:
		return s.unavailable()
	}
}

// committed takes over the result of a successful write.
func (s State) committed(m Written) (State, []Effect) {
	w := s.writing
	s.writing = writing{}
	if w.segment.keys != nil {
		w.segment.revision = m.Revision
		s.claims = s.claims.WithSegment(w.segment)
		s.repeat = true
		return s, nil
	}
	s.revision = m.Revision
	s.written = true
	for _, e := range w.fresh {
		if c, ok := s.claims.Get(e.Hash); ok && !c.stored && c.ClaimEntry == e {
			c.stored = true
			s.claims = s.claims.WithChanged(c)
		}
	}
	it := w.tickets.Iterator()
	for !it.Done() {
		_, id := it.Next()
		if t, ok := s.queue.tickets.Get(id); ok && t.claiming {
			s.queue = s.queue.WithClaimed(t)
		}
	}
	return s, s.drop(w.dropped)
}

// drop deletes segments that the claim names no longer.
func (s State) drop(dropped []segment) []Effect {
	var effects []Effect
	for _, g := range dropped {
		for _, key := range g.keys {
			rec, ok := segmentOf(s.service.Name, key)
			if !ok {
				continue
			}
			effects = append(effects, Write{Record: rec, Expected: g.revision, Delete: true, Epoch: s.epoch})
		}
	}
	return effects
}

// conflicted repeats the write over an own earlier one whose answer was lost, or else resigns.
func (s State) conflicted(m Written) (State, []Effect) {
	if m.Found.Epoch != s.epoch {
		return s.resign()
	}
	s.revision = m.Revision
	s.writes++
	s.writing.claim.Sequence = s.writes
	return s, []Effect{s.write(s.writing.claim, s.revision)}
}

// unavailable refuses the requests of a write that may or may not have taken effect.
//
// None of them was granted, so their claims are unused; the next successful write
// removes them from the store.
func (s State) unavailable() (State, []Effect) {
	lists := []*immutable.List[message.ID]{s.writing.tickets, s.waiting}
	s.writing = writing{}
	s.waiting = immutable.NewList[message.ID]()
	s.repeat = true
	s.retryAt = s.now.Add(s.options.Backoff)
	var effects []Effect
	for _, list := range lists {
		it := list.Iterator()
		for !it.Done() {
			_, id := it.Next()
			if t, ok := s.queue.tickets.Get(id); ok && t.claiming {
				s = s.withoutTicket(t)
				effects = append(effects, s.deny(t.from, id, refusal(message.ReasonNoClaim, s.options.Backoff)))
			}
		}
	}
	return s, effects
}

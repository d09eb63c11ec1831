package dispatch

import (
	"errors"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// admitNonIdempotent queues a non-idempotent request if its key is unclaimed, or is claimed by the request itself and the
// request was not sent. Otherwise it denies the request as a duplicate.
func (s State) admitNonIdempotent(t ticket) (State, []Effect) {
	c, ok := s.claims.Get(t.hash)
	if ok && c.Time < s.retentionStart().UnixMilli() {
		ok = false
	}
	own := ok && c.belongsTo(t.request.ID) && c.Entry == t.entry
	switch {
	case own && c.stored && (c.unused || s.unsent(t, c)):
		c.unused = false
		return s.admitClaimed(t, c)
	case !ok || c.unused:
		return s.admitUnclaimed(t)
	default:
		return s, []Effect{s.denyDuplicate(t.entry, t.request.ID, c.Entry)}
	}
}

// unsent reports whether a claimed request that is repeated may be queued, because it was not sent or because a report
// that is still awaited will tell.
//
// If its entry instance has reported its grants in this epoch without listing it, the request was certainly not sent:
// the entry instance refuses older grants from then on, so it repeats the request because it has not sent it. While
// the report is still awaited, the request may be queued too, since a report that lists it removes it from the queue.
func (s State) unsent(t ticket, c claim) bool {
	m, known := s.member(t.entry)
	awaited := s.phase == gathering && m.needed
	return !c.ended && known && (m.answered || awaited)
}

// admitClaimed queues a ticket whose claim is already stored.
func (s State) admitClaimed(t ticket, c claim) (State, []Effect) {
	if r, refused := s.checkLimits(t); refused {
		return s, []Effect{s.deny(t.entry, t.request.ID, r)}
	}
	s.claims = s.claims.WithChanged(c)
	return s.withTicket(t), nil
}

// admitUnclaimed queues a ticket that becomes eligible for a grant once the next write has stored its claim.
func (s State) admitUnclaimed(t ticket) (State, []Effect) {
	if s.now.Before(s.writeRetryAt) {
		return s, []Effect{s.deny(t.entry, t.request.ID, newRefusal(message.ReasonNoClaim, s.options.Backoff))}
	}
	if r, refused := s.checkLimits(t); refused {
		return s, []Effect{s.deny(t.entry, t.request.ID, r)}
	}
	t.claiming = true
	s.claims = s.claims.With(claim{ClaimEntry: newClaimEntry(t, s.now)})
	s.unclaimed = s.unclaimed.Append(t.request.ID)
	return s.withTicket(t), nil
}

func (s State) retentionStart() time.Time {
	return s.now.Add(-s.options.Retention)
}

// withUnused returns a copy that records that the request did not run and has no grant.
func (s State) withUnused(hash string, id message.ID) State {
	if c, ok := s.claims.Get(hash); ok && c.belongsTo(id) && !c.ended {
		c.unused = true
		s.claims = s.claims.WithChanged(c)
	}
	return s
}

// withEnded returns a copy that records that the granted request may have run.
func (s State) withEnded(g grant) State {
	if c, ok := s.claims.Get(g.hash); ok && c.belongsTo(g.id) {
		c.ended = true
		s.claims = s.claims.WithChanged(c)
	}
	return s
}

// withHeldClaim returns a copy in which the key of a reported grant is claimed by its request.
func (s State) withHeldClaim(g grant) State {
	c, ok := s.claims.Get(g.hash)
	if ok && c.belongsTo(g.id) {
		c.unused = false
		s.claims = s.claims.WithChanged(c)
		return s
	}
	s.claims = s.claims.With(claim{ClaimEntry: record.ClaimEntry{
		Hash:    g.hash,
		Entry:   g.entry,
		Request: g.id.String(),
		Time:    s.now.UnixMilli(),
	}})
	s.dirty = true
	return s
}

// startWrite begins the next write if one is needed and none is in flight.
//
// If the claim value has become too large, its stored entries are first written to a new segment. The claim value that
// refers to the segment, and no longer contains these entries, is written next.
func (s State) startWrite() (State, []Effect) {
	if s.phase == idle || s.pendingWrite.active || s.now.Before(s.writeRetryAt) || !s.needsWrite() {
		return s, nil
	}
	s.writeSequence++
	var v claimValue
	s.claims, v = s.claims.WithPruned(s.retentionStart())
	if s.claimWritten && s.claims.size > s.options.MaxClaimSize {
		if seg, rec := s.newSegment(v); len(rec.Entries) > 0 {
			s.pendingWrite = pendingWrite{active: true, segment: seg, tickets: immutable.NewList[message.ID]()}
			return s, []Effect{s.writeEffect(rec, 0)}
		}
	}
	w := pendingWrite{active: true, tickets: s.unclaimed, unstored: v.unstored}
	s.claims, w.dropped = s.claims.WithoutExpiredSegments(s.retentionStart())
	w.claim = record.Claim{
		Service:  s.service.Name,
		Epoch:    s.epoch,
		Sequence: s.writeSequence,
		Entries:  v.entries,
		Segments: s.claims.SegmentKeys(),
	}
	s.pendingWrite = w
	s.unclaimed = immutable.NewList[message.ID]()
	s.dirty = false
	return s, []Effect{s.writeEffect(w.claim, s.claimRevision)}
}

// needsWrite reports whether the stored claims are out of date.
func (s State) needsWrite() bool {
	return !s.claimWritten || s.dirty || s.unclaimed.Len() > 0
}

func (s State) writeEffect(r record.Record, expected int64) Write {
	return Write{Record: r, ExpectedRevision: expected, Epoch: s.epoch, Sequence: s.writeSequence}
}

// segmentsPerEpoch is the size of the range of segment numbers that belongs to one epoch.
const segmentsPerEpoch = 1 << 32

// newSegment returns a new segment with the claims of the claim value that are stored.
func (s State) newSegment(v claimValue) (segment, record.ClaimSegment) {
	rec := record.ClaimSegment{Service: s.service.Name, Number: s.epoch*segmentsPerEpoch + s.writeSequence}
	seg := segment{keys: []string{rec.Key()}, newest: s.now}
	for _, e := range v.entries {
		if c, _ := s.claims.Get(e.Hash); c.stored {
			rec.Entries = append(rec.Entries, e)
			seg.hashes = append(seg.hashes, e.Hash)
		}
	}
	return seg, rec
}

// onWriteResult handles the result of the write in flight. A conflict of a segment is handled like an unavailable
// store: the segment is written again under a new number.
func (s State) onWriteResult(m WriteResult) (State, []Effect) {
	if s.phase == idle || !s.pendingWrite.active || m.Epoch != s.epoch || m.Sequence != s.writeSequence {
		return s, nil
	}
	switch {
	case m.Err == nil:
		return s.onWriteCommitted(m)
	case errors.Is(m.Err, message.ErrConflict) && s.pendingWrite.segment.keys == nil:
		return s.onWriteConflict(m)
	default:
		return s.onWriteUnavailable()
	}
}

// onWriteCommitted handles a successful write.
func (s State) onWriteCommitted(m WriteResult) (State, []Effect) {
	w := s.pendingWrite
	s.pendingWrite = pendingWrite{}
	if w.segment.keys != nil {
		w.segment.revision = m.Revision
		s.claims = s.claims.WithSegment(w.segment)
		s.dirty = true
		return s, nil
	}
	s.claimRevision = m.Revision
	s.claimWritten = true
	for _, e := range w.unstored {
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
	return s, s.deleteSegments(w.dropped)
}

// deleteSegments deletes segments that the claim value no longer refers to.
func (s State) deleteSegments(dropped []segment) []Effect {
	var effects []Effect
	for _, seg := range dropped {
		for _, key := range seg.keys {
			rec, ok := parseSegmentKey(s.service.Name, key)
			if !ok {
				continue
			}
			effects = append(effects, Write{Record: rec, ExpectedRevision: seg.revision, Delete: true, Epoch: s.epoch})
		}
	}
	return effects
}

// onWriteConflict repeats the write if the conflict is with an earlier write of this epoch whose answer was lost,
// and resigns otherwise.
func (s State) onWriteConflict(m WriteResult) (State, []Effect) {
	if m.Found.Epoch != s.epoch {
		return s.resign()
	}
	s.claimRevision = m.Revision
	s.writeSequence++
	s.pendingWrite.claim.Sequence = s.writeSequence
	return s, []Effect{s.writeEffect(s.pendingWrite.claim, s.claimRevision)}
}

// onWriteUnavailable denies the requests of a write that may or may not have taken effect.
//
// None of them was granted, so their claims are unused and the next successful write
// removes them from the store.
func (s State) onWriteUnavailable() (State, []Effect) {
	lists := []*immutable.List[message.ID]{s.pendingWrite.tickets, s.unclaimed}
	s.pendingWrite = pendingWrite{}
	s.unclaimed = immutable.NewList[message.ID]()
	s.dirty = true
	s.writeRetryAt = s.now.Add(s.options.Backoff)
	var effects []Effect
	for _, list := range lists {
		it := list.Iterator()
		for !it.Done() {
			_, id := it.Next()
			if t, ok := s.queue.tickets.Get(id); ok && t.claiming {
				s = s.withoutTicket(t)
				effects = append(effects, s.deny(t.entry, id, newRefusal(message.ReasonNoClaim, s.options.Backoff)))
			}
		}
	}
	return s, effects
}

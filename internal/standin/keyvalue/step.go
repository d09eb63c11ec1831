package keyvalue

import (
	"fmt"
	"slices"
	"time"
)

// Step applies one message.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Range:
		return s, []Effect{s.read(m)}
	case Swap:
		return s.swap(m)
	case Grant:
		return s.grant(m)
	case KeepAlive:
		return s.keepAlive(m)
	case Revoke:
		return s.revoke(m)
	case Watch:
		return s.watch(m)
	case Unwatch:
		s.watches = s.watches.Delete(m.ID)
		return s, nil
	case Progress:
		return s, []Effect{Notify{Watch: m.ID, Revision: s.revision}}
	case Compact:
		return s.WithCompacted(m.Revision), nil
	case Tick:
		return s.expire(m.Now)
	default:
		panic(fmt.Sprintf("keyvalue: unknown message %T", m))
	}
}

func (s State) read(m Range) Pairs {
	result := Pairs{Revision: s.revision}
	itr := s.pairs.Iterator()
	for itr.Seek(m.Key); !itr.Done(); {
		key, p, _ := itr.Next()
		if !within(key, m.Key, m.End) {
			break
		}
		result.Count++
		if m.Limit == 0 || len(result.Pairs) < m.Limit {
			result.Pairs = append(result.Pairs, p)
		}
	}
	return result
}

// within says whether a key is in a range, in which an end of "\x00" stands for no end.
func within(key, start, end string) bool {
	if end == "" {
		return key == start
	}
	return key >= start && (end == "\x00" || key < end)
}

func (s State) swap(m Swap) (State, []Effect) {
	if len(m.Value) > MaxValue {
		return s, []Effect{Failed{Reason: ReasonTooLarge}}
	}
	if _, ok := s.leases.Get(m.Lease); m.Lease != 0 && !ok {
		return s, []Effect{Failed{Reason: ReasonNoLease}}
	}
	old, exists := s.pairs.Get(m.Key)
	if old.Modified != m.Expected {
		return s, []Effect{Swapped{Revision: s.revision}}
	}
	before := s.revision
	switch {
	case !m.Delete:
		s = s.WithPair(m.Key, m.Value, m.Lease)
	case exists:
		s = s.WithoutPair(m.Key)
	}
	return s, append([]Effect{Swapped{Revision: s.revision, Succeeded: true}}, s.notify(before)...)
}

func (s State) grant(m Grant) (State, []Effect) {
	s.lastLease++
	s.leases = s.leases.Set(s.lastLease, lease{ttl: m.TTL, expires: m.Now.Add(m.TTL)})
	return s, []Effect{Leased{Revision: s.revision, ID: s.lastLease, TTL: m.TTL}}
}

func (s State) keepAlive(m KeepAlive) (State, []Effect) {
	s, effects := s.expire(m.Now)
	l, ok := s.leases.Get(m.ID)
	answer := Leased{Revision: s.revision, ID: m.ID}
	if ok {
		l.expires = m.Now.Add(l.ttl)
		s.leases = s.leases.Set(m.ID, l)
		answer.TTL = l.ttl
	}
	return s, append([]Effect{answer}, effects...)
}

func (s State) revoke(m Revoke) (State, []Effect) {
	if _, ok := s.leases.Get(m.ID); !ok {
		return s, []Effect{Failed{Reason: ReasonNoLease}}
	}
	before := s.revision
	s = s.withoutLease(m.ID)
	return s, append([]Effect{Revoked{Revision: s.revision}}, s.notify(before)...)
}

// withoutLease deletes a lease and its keys.
func (s State) withoutLease(id int64) State {
	l, _ := s.leases.Get(id)
	for _, key := range l.keys {
		s = s.WithoutPair(key)
	}
	s.leases = s.leases.Delete(id)
	return s
}

func (s State) expire(now time.Time) (State, []Effect) {
	before := s.revision
	for itr := s.leases.Iterator(); !itr.Done(); {
		id, l, _ := itr.Next()
		if !now.Before(l.expires) {
			s = s.withoutLease(id)
		}
	}
	return s, s.notify(before)
}

func (s State) watch(m Watch) (State, []Effect) {
	if m.Start == 0 {
		m.Start = s.revision + 1
	}
	if m.Start < s.compacted {
		return s, []Effect{Cancelled{Compacted: s.compacted}}
	}
	s.watches = s.watches.Set(m.ID, m)
	effects := []Effect{Opened{Revision: s.revision}}
	if events := matching(s.since(m.Start-1), m); len(events) > 0 {
		effects = append(effects, Notify{Watch: m.ID, Revision: s.revision, Events: events})
	}
	return s, effects
}

// since returns the events after a revision, oldest first.
func (s State) since(revision int64) []Event {
	var events []Event
	for i := s.history.Len() - 1; i >= 0; i-- {
		e := s.history.Get(i)
		if e.Pair.Modified <= revision {
			break
		}
		events = append(events, e)
	}
	slices.Reverse(events)
	return events
}

// notify returns what the open watches get to hear of the changes after a revision.
func (s State) notify(revision int64) []Effect {
	changed := s.since(revision)
	if len(changed) == 0 {
		return nil
	}
	var effects []Effect
	for itr := s.watches.Iterator(); !itr.Done(); {
		id, w, _ := itr.Next()
		if events := matching(changed, w); len(events) > 0 {
			effects = append(effects, Notify{Watch: id, Revision: s.revision, Events: events})
		}
	}
	return effects
}

func matching(events []Event, w Watch) []Event {
	var found []Event
	for _, e := range events {
		if e.Pair.Modified >= w.Start && within(e.Pair.Key, w.Key, w.End) {
			found = append(found, e)
		}
	}
	return found
}

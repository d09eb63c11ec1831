package roster

import (
	"fmt"
	"time"

	"teaselloft/internal/model/message"

	"github.com/benbjohnson/immutable"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Heartbeat registers instances, or renews them, for a time to live.
type Heartbeat struct {
	Now       time.Time
	TTL       time.Duration
	Instances []message.Listing
}

// Look asks for the list as it was before the lag.
type Look struct{ Now time.Time }

// Reboot takes an instance off the list for a while, whatever heartbeats say.
type Reboot struct {
	Now time.Time
	ID  string
	For time.Duration
}

// SetLag sets the lag of the list.
type SetLag struct{ Lag time.Duration }

func (Heartbeat) message() {}
func (Look) message()      {}
func (SetLag) message()    {}
func (Reboot) message()    {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// View answers Look; the version changes with every change of the list.
type View struct {
	Version   uint64
	Instances []message.Listing
}

func (View) effect() {}

// State is the list with its recent past; the zero State is not usable.
type State struct {
	lag     time.Duration
	reboots *immutable.Map[string, time.Time] // end of each reboot
	entries *immutable.SortedMap[string, entry]
	past    *immutable.List[moment] // oldest first, never empty
}

type entry struct {
	listing message.Listing
	expires time.Time
}

type moment struct {
	since   time.Time
	version uint64
	entries *immutable.SortedMap[string, entry]
}

// New returns an empty list with the given lag.
func New(lag time.Duration) State {
	entries := immutable.NewSortedMap[string, entry](nil)
	return State{
		lag:     lag,
		reboots: immutable.NewMap[string, time.Time](nil),
		entries: entries,
		past:    immutable.NewList(moment{entries: entries}),
	}
}

// Step applies one message.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Heartbeat:
		return s.withHeartbeat(m), nil
	case Look:
		s = s.withTime(m.Now)
		return s, []Effect{s.past.Get(0).view()}
	case SetLag:
		s.lag = m.Lag
		return s, nil
	case Reboot:
		return s.withReboot(m), nil
	default:
		panic(fmt.Sprintf("roster: unknown message %T", m))
	}
}

func (s State) withHeartbeat(m Heartbeat) State {
	s = s.withTime(m.Now)
	changed := false
	for _, l := range m.Instances {
		if _, down := s.reboots.Get(l.ID); down {
			continue
		}
		old, ok := s.entries.Get(l.ID)
		changed = changed || !ok || old.listing != l
		s.entries = s.entries.Set(l.ID, entry{listing: l, expires: m.Now.Add(m.TTL)})
	}
	if !changed {
		return s
	}
	return s.withMoment(m.Now)
}

func (s State) withReboot(m Reboot) State {
	s = s.withTime(m.Now)
	s.reboots = s.reboots.Set(m.ID, m.Now.Add(m.For))
	s.entries = s.entries.Delete(m.ID)
	return s.withMoment(m.Now)
}

// withTime drops expired instances, and the past that the lag no longer shows.
func (s State) withTime(now time.Time) State {
	for itr := s.reboots.Iterator(); !itr.Done(); {
		if id, end, _ := itr.Next(); !now.Before(end) {
			s.reboots = s.reboots.Delete(id)
		}
	}
	for itr := s.entries.Iterator(); !itr.Done(); {
		id, e, _ := itr.Next()
		if !now.Before(e.expires) {
			s.entries = s.entries.Delete(id)
			s = s.withMoment(e.expires)
		}
	}
	for s.past.Len() > 1 && !s.past.Get(1).since.After(now.Add(-s.lag)) {
		s.past = s.past.Slice(1, s.past.Len())
	}
	return s
}

func (s State) withMoment(now time.Time) State {
	last := s.past.Get(s.past.Len() - 1)
	s.past = s.past.Append(moment{since: now, version: last.version + 1, entries: s.entries})
	return s
}

func (m moment) view() View {
	v := View{Version: m.version, Instances: []message.Listing{}}
	for itr := m.entries.Iterator(); !itr.Done(); {
		_, e, _ := itr.Next()
		v.Instances = append(v.Instances, e.listing)
	}
	return v
}

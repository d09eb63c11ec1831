package follow

import (
	"fmt"

	"github.com/benbjohnson/immutable"
)

// State is what was published so far; the zero State is not usable.
type State struct {
	pinned   string
	revision int64                               // every change up to it was seen
	known    *immutable.SortedMap[string, int64] // revision by existing key
}

// New returns a state that has published nothing; after a broken watch it reads the pinned key before all others.
func New(pinned string) State {
	return State{pinned: pinned, known: immutable.NewSortedMap[string, int64](nil)}
}

// Revision returns the revision up to which every change was published.
func (s State) Revision() int64 { return s.revision }

// Keys returns the number of existing keys.
func (s State) Keys() int { return s.known.Len() }

// WithRevision returns a copy that has seen the changes up to a revision.
func (s State) WithRevision(revision int64) State {
	s.revision = max(s.revision, revision)
	return s
}

// Step applies one message.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Begin:
		return s, []Effect{List{}}
	case Listed:
		return s.listed(m)
	case Unlisted:
		return s, []Effect{Pause{}, List{}}
	case Changed:
		return s.changed(m)
	case Got:
		return s.publish(nil, m.Change)
	case Broken:
		return s, []Effect{Pause{}, Get{Key: s.pinned}, Watch{Start: s.revision + 1}}
	case Compacted:
		return s, []Effect{Pause{}, List{}}
	default:
		panic(fmt.Sprintf("follow: unknown message %T", m))
	}
}

// listed publishes what differs from the known keys, deletions first.
func (s State) listed(m Listed) (State, []Effect) {
	exists := make(map[string]bool, len(m.Keys))
	for _, k := range m.Keys {
		exists[k.Key] = true
	}
	var effects []Effect
	for itr := s.known.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if !exists[key] {
			s, effects = s.publish(effects, Change{Key: key, Revision: m.Revision, Deleted: true})
		}
	}
	for _, k := range m.Keys {
		s, effects = s.publish(effects, k)
	}
	s.revision = m.Revision
	return s, append(effects, Watch{Start: s.revision + 1})
}

func (s State) changed(m Changed) (State, []Effect) {
	var effects []Effect
	for _, c := range m.Changes {
		s, effects = s.publish(effects, c)
	}
	return s.WithRevision(m.Revision), effects
}

// publish appends a change unless it is older than what is known of its key.
//
// A list is read in pages, so a watch from its first page's revision can repeat changes.
func (s State) publish(effects []Effect, c Change) (State, []Effect) {
	revision, ok := s.known.Get(c.Key)
	switch {
	case ok && c.Revision <= revision, !ok && c.Deleted:
		return s, effects
	case c.Deleted:
		s.known = s.known.Delete(c.Key)
	default:
		s.known = s.known.Set(c.Key, c.Revision)
	}
	return s, append(effects, Publish{Change: c})
}

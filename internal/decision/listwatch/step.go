package listwatch

import (
	"fmt"

	"github.com/benbjohnson/immutable"
)

// State is the immutable state of a list and watch. The zero State is not usable.
type State struct {
	pinned    string                              // key that is read again after an interrupted watch
	revision  int64                               // up to which every change was received
	published *immutable.SortedMap[string, int64] // latest published revision by existing key
}

// New returns a state in which nothing was published. After an interrupted watch the pinned key is read before
// the watch is resumed, so that its current value is published without waiting for the watch.
func New(pinned string) State {
	return State{pinned: pinned, published: immutable.NewSortedMap[string, int64](nil)}
}

// Revision returns the revision up to which every change was received.
func (s State) Revision() int64 { return s.revision }

// Len returns the number of existing keys.
func (s State) Len() int { return s.published.Len() }

// WithRevision returns a copy that has received the changes up to a revision.
func (s State) WithRevision(revision int64) State {
	s.revision = max(s.revision, revision)
	return s
}

// Step returns the state after a message and the effects to carry out in order.
func Step(s State, m Message) (State, []Effect) {
	switch m := m.(type) {
	case Start:
		return s, []Effect{List{}}
	case ListResult:
		return s.onListResult(m)
	case ListFailed:
		return s, []Effect{Backoff{}, List{}}
	case WatchResponse:
		return s.onWatchResponse(m)
	case GetResult:
		return s.publish(nil, m.Change)
	case WatchInterrupted:
		return s, []Effect{Backoff{}, Get{Key: s.pinned}, Watch{Start: s.revision + 1}}
	case WatchCompacted:
		return s, []Effect{Backoff{}, List{}}
	default:
		panic(fmt.Sprintf("listwatch: unknown message %T", m))
	}
}

// onListResult publishes the differences from the published keys, deletions first, and starts a watch.
func (s State) onListResult(m ListResult) (State, []Effect) {
	listed := make(map[string]bool, len(m.Keys))
	for _, k := range m.Keys {
		listed[k.Key] = true
	}
	var effects []Effect
	for itr := s.published.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if !listed[key] {
			s, effects = s.publish(effects, Change{Key: key, Revision: m.Revision, Deleted: true})
		}
	}
	for _, k := range m.Keys {
		s, effects = s.publish(effects, k)
	}
	s.revision = m.Revision
	return s, append(effects, Watch{Start: s.revision + 1})
}

func (s State) onWatchResponse(m WatchResponse) (State, []Effect) {
	var effects []Effect
	for _, c := range m.Changes {
		s, effects = s.publish(effects, c)
	}
	return s.WithRevision(m.Revision), effects
}

// publish appends a Publish effect unless the key was published at this revision or a later one.
//
// A list is read in pages, so a watch from the revision of the first page can repeat changes.
func (s State) publish(effects []Effect, c Change) (State, []Effect) {
	revision, ok := s.published.Get(c.Key)
	switch {
	case ok && c.Revision <= revision, !ok && c.Deleted:
		return s, effects
	case c.Deleted:
		s.published = s.published.Delete(c.Key)
	default:
		s.published = s.published.Set(c.Key, c.Revision)
	}
	return s, append(effects, Publish{Change: c})
}

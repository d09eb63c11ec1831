package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// source describes a key prefix whose items are watched.
type source struct {
	prefix     string
	apply      func(cluster.Directory, []port.Event) cluster.Directory // applies changes in their order
	keys       func(cluster.Directory) []string                        // keys of the items in the directory
	markSynced func(cluster.Directory) cluster.Directory               // records that the source has been listed
	interval   time.Duration                                           // between two watches
	listed     *atomic.Int64                                           // revision of the last list
	list       *listState
	onAnswer   func(sent time.Duration, err error) // called after each answer was applied, and after each failed call; may be nil
}

// answered reports the result of a call that was sent at a time.
func (s source) answered(sent time.Duration, err error) {
	if s.onAnswer != nil {
		s.onAnswer(sent, err)
	}
}

// listState belongs to a list of a source that may run beside a watch of it.
type listState struct {
	running sync.Mutex // held during a list, so that each one is requested after the last one was applied
	open    bool       // a list is requested and not applied; guarded by link.mutex, as is changes
	changes []port.Event
}

// newer returns the changes after the last list. A watch that began before that list returns earlier ones, too.
func (s source) newer(events []port.Event) []port.Event {
	listed := s.listed.Load()
	return slices.DeleteFunc(events, func(e port.Event) bool { return e.Revision <= listed })
}

// startList begins to keep the changes that watches return, which are newer than the list may be.
func (l *link) startList(s source) {
	s.list.running.Lock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.list.open = true
}

func (l *link) endList(s source) {
	l.mutex.Lock()
	s.list.open, s.list.changes = false, nil
	l.mutex.Unlock()
	s.list.running.Unlock()
}

// operatorSource returns the source of the configuration and the waves. Operators add and replace items but delete none.
func (l *link) operatorSource() source {
	codec := l.codec()
	return source{
		prefix: codec.OperatorPrefix(), listed: new(atomic.Int64), list: new(listState),
		apply: func(d cluster.Directory, events []port.Event) cluster.Directory {
			for _, e := range events {
				if !e.Deleted {
					d = l.withOperatorItem(d, codec, e.Item)
				}
			}
			return d
		},
		keys:       func(cluster.Directory) []string { return nil },
		markSynced: func(d cluster.Directory) cluster.Directory { return d },
		onAnswer:   l.confirmByStore,
	}
}

// withOperatorItem applies an item. One whose decoding panics leaves the directory as it is; if it is a configuration, the
// present one is not the newest one, and is not confirmed until a newer one is in force.
func (l *link) withOperatorItem(d cluster.Directory, codec port.SiteCodec, item port.Item) cluster.Directory {
	after, isConfig := d, false
	if err := guard.Call(func() { after, isConfig = l.withConfigItem(d, codec, item) }); err != nil {
		l.unusedConfig = max(l.unusedConfig, item.Revision)
		l.logInvalid(item, err)
		return d
	}
	if isConfig {
		return after
	}
	if err := guard.Call(func() { after = l.withWaveItem(d, codec, item) }); err != nil {
		l.logInvalid(item, err)
		return d
	}
	return after
}

// withConfigItem applies an item if it is a configuration.
func (l *link) withConfigItem(d cluster.Directory, codec port.SiteCodec, item port.Item) (after cluster.Directory, ok bool) {
	c, ok, err := codec.Config(item)
	if !ok {
		return d, false
	}
	if err != nil {
		l.logInvalid(item, err)
	}
	if c == nil {
		return d, true
	}
	after = l.withConfig(d, codec, item, c)
	if item.Revision > l.unusedConfig {
		l.unusedConfig = 0
	}
	return after, true
}

func (l *link) withWaveItem(d cluster.Directory, codec port.SiteCodec, item port.Item) cluster.Directory {
	w, ok, err := codec.Wave(item)
	if !ok {
		return d
	}
	if err != nil {
		l.logInvalid(item, err)
		return d
	}
	return d.WithWave(w, clock.SinceBoot())
}

// executorSource returns the source of the executors' reports.
func (l *link) executorSource() source {
	codec := l.codec()
	return source{
		prefix:   codec.ExecutorPrefix(),
		listed:   new(atomic.Int64),
		list:     new(listState),
		interval: l.settings.ExecutorWatchInterval.Value(),
		apply: func(d cluster.Directory, events []port.Event) cluster.Directory {
			put := make([]site.Executor, 0, len(events))
			var removed []string
			for _, change := range latestChanges(events) {
				if change.Deleted {
					removed = append(removed, strings.TrimPrefix(change.Key, codec.ExecutorPrefix()))
					continue
				}
				e, err := codec.Executor(change.Item)
				if err != nil {
					l.logInvalid(change.Item, err)
					removed = append(removed, strings.TrimPrefix(change.Key, codec.ExecutorPrefix())) // it names no executor to use
					continue
				}
				if before, ok := d.Executors[e.ID]; !ok || !before.SameReport(e) {
					put = append(put, e)
				}
			}
			removed = slices.DeleteFunc(removed, func(id string) bool { _, ok := d.Executors[id]; return !ok })
			if len(put) == 0 && len(removed) == 0 {
				return d
			}
			return d.WithExecutors(put, removed)
		},
		keys: func(d cluster.Directory) []string {
			keys := make([]string, 0, len(d.Executors))
			for id := range d.Executors {
				keys = append(keys, codec.ExecutorPrefix()+id)
			}
			return keys
		},
		markSynced: func(d cluster.Directory) cluster.Directory { return d.WithSynced(false, true) },
	}
}

// latestChanges returns the last change of each key, in the order of these changes.
func latestChanges(events []port.Event) []port.Event {
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Key] = i
	}
	if len(last) == len(events) {
		return events
	}
	latest := make([]port.Event, 0, len(last))
	for i, e := range events {
		if last[e.Key] == i {
			latest = append(latest, e)
		}
	}
	return latest
}

// clusterSource returns the source of the records of the daemons and of the owners of duties. The records of owners are
// never deleted.
func (l *link) clusterSource() source {
	return source{
		prefix: cluster.Prefix, listed: new(atomic.Int64), list: new(listState),
		apply: func(d cluster.Directory, events []port.Event) cluster.Directory {
			var put []cluster.Member
			var removed []string
			for _, change := range latestChanges(events) {
				if name, ok := strings.CutPrefix(change.Key, cluster.PrefixMember); ok {
					if change.Deleted {
						removed = append(removed, name)
						continue
					}
					m, err := job.Decode[cluster.Member](change.Value)
					if err == nil {
						err = m.Validate(name)
					}
					if err != nil {
						l.logInvalid(change.Item, err)
						continue
					}
					put = append(put, m)
				} else if change.Key == cluster.KeyPaths && !change.Deleted {
					d = l.withPaths(d, change.Item)
				} else if !change.Deleted {
					d = l.withOwner(d, change.Item)
				}
			}
			if len(put) == 0 && len(removed) == 0 {
				return d
			}
			return d.WithMembers(put, removed)
		},
		keys: func(d cluster.Directory) []string {
			var keys []string
			for name := range d.Members {
				keys = append(keys, cluster.PrefixMember+name)
			}
			return keys
		},
		markSynced: func(d cluster.Directory) cluster.Directory { return d.WithSynced(true, false) },
	}
}

func (l *link) withOwner(d cluster.Directory, item port.Item) cluster.Directory {
	duty, ok := strings.CutPrefix(item.Key, cluster.PrefixOwner)
	if !ok {
		return d
	}
	o, err := job.Decode[cluster.Owner](item.Value)
	if err == nil {
		err = o.Validate(duty)
	}
	if err != nil {
		l.logInvalid(item, err)
		return d
	}
	return d.WithOwner(o.WithRevision(item.Revision))
}

// withPaths applies the record of the paths. An invalid one leaves the known paths as they are.
func (l *link) withPaths(d cluster.Directory, item port.Item) cluster.Directory {
	p, err := job.Decode[cluster.Paths](item.Value)
	if err == nil {
		err = p.Validate()
	}
	if err != nil {
		l.logInvalid(item, err)
		return d
	}
	return d.WithPaths(p.WithRevision(item.Revision))
}

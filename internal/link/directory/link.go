package directory

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/confirmation"
	"teaselloft/internal/decision/polling"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"

	"github.com/rcrowley/go-metrics"
)

// Name is the plug-in's name in the settings.
const Name = "follow"

// Settings of the plug-in.
type Settings struct {
	WatchWait             kernel.Duration `json:"wait"`    // that a watch waits for a change
	WatchMargin           kernel.Duration `json:"margin"`  // added to WatchWait before a watch times out
	ListTimeout           kernel.Duration `json:"timeout"` // of a list call
	RetryInterval         kernel.Duration `json:"pause"`   // after a failed call
	ExecutorWatchInterval kernel.Duration `json:"gather"`  // longest time between two watches of the executors, whose reports change all the time
	WatchBatch            int             `json:"batch"`   // changes that an answer of the store to a watch holds at most, 0 if unlimited
}

// Defaults of the settings. Watches are short to bound the time until a dead connection is detected.
var Defaults = Settings{
	WatchWait:             kernel.Duration(2 * time.Second),
	WatchMargin:           kernel.Duration(700 * time.Millisecond),
	ListTimeout:           kernel.Duration(1500 * time.Millisecond),
	RetryInterval:         kernel.Duration(150 * time.Millisecond),
	ExecutorWatchInterval: kernel.Duration(400 * time.Millisecond),
	WatchBatch:            500, // the platform's limit
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host        *kernel.Host
	log         *slog.Logger
	settings    Settings
	mutex       sync.Mutex // serializes updates of the directory, and guards logged
	current     atomic.Pointer[cluster.Directory]
	lastContact atomic.Int64     // time of the store's last answer, on the boot clock; so are the two below
	outageStart atomic.Int64     // 0 while the store answers
	outageEnd   atomic.Int64     // of the last outage; 0 if there was none
	logged      map[string]int64 // last logged revision of each invalid item
	invalid     metrics.Counter

	confirmation atomic.Pointer[confirmation.State] // of the configuration; changed under mutex
	configItem   port.Item                          // without keys; guarded by mutex
	unusedConfig int64                              // revision of a newer configuration whose decoding panicked, or 0; guarded by mutex
	fromPeers    metrics.Counter                    // configurations taken from peers
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{
		host: h, log: h.Log.With("plugin", Name), settings: s, logged: map[string]int64{},
		invalid:   metrics.GetOrRegisterCounter("follow.invalid", h.Metrics),
		fromPeers: metrics.GetOrRegisterCounter("follow.peer", h.Metrics),
	}
	l.current.Store(&cluster.Directory{})
	unconfirmed := confirmation.New(clock.SinceBoot())
	l.confirmation.Store(&unconfirmed)
	executors := newExecutorFollower(l)
	kernel.Provide[port.Directory](h, l)
	kernel.Provide[port.Executors](h, executors)
	kernel.Provide[port.ConfigSource](h, l)
	h.RegisterDump(Name, func() any { return l.Directory() })
	h.RegisterDump("confirmation", l.dumpConfirmation)
	return []kernel.Duty{
		{Name: "follow.operator", Run: func(ctx context.Context) error { return l.run(ctx, l.operatorSource(), 0) }},
		{Name: "follow.executors", Run: executors.run},
		{Name: "follow.peers", Run: l.runPeers},
		{Name: "follow.own", Run: func(ctx context.Context) error { return l.run(ctx, l.clusterSource(), 0) }},
	}, nil
}

// Directory implements port.Directory.
func (l *link) Directory() cluster.Directory { return *l.current.Load() }

// LastContact implements port.Directory.
func (l *link) LastContact() time.Duration { return time.Duration(l.lastContact.Load()) }

// Outage implements port.Directory.
func (l *link) Outage() (start, end time.Duration) {
	return time.Duration(l.outageStart.Load()), time.Duration(l.outageEnd.Load())
}

// Learn implements port.Directory.
func (l *link) Learn(ctx context.Context, o cluster.Owner) {
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		if o.Epoch <= d.Owners[o.Duty].Epoch {
			return d // the store's record has its revision
		}
		return d.WithOwner(o)
	})
}

var errNoStore = errors.New("no plug-in provides a store")

// run watches the changes of a source after a revision. It lists the items first if the revision is 0, if a list has
// failed and if the store has compacted the history.
func (l *link) run(ctx context.Context, s source, revision int64) error {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return errNoStore
	}
	interval, answeredAt := polling.NewInterval(s.interval, l.settings.WatchBatch), clock.SinceBoot()
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = l.list(ctx, store, s)
		}
		watched := false
		for err == nil {
			var changes int
			revision, changes, err = l.watch(ctx, store, s, revision)
			watched = watched || err == nil
			if s.interval > 0 && changes > 0 {
				now := clock.SinceBoot()
				interval, answeredAt = interval.WithAnswer(changes, now-answeredAt), now
				l.sleep(ctx, interval.Value())
			}
		}
		if ctx.Err() != nil {
			break
		}
		revision = 0
		if errors.Is(err, port.ErrCompacted) {
			l.log.Info("store compacted the history, listing again", "event", "follow.history", "prefix", s.prefix)
			if watched {
				continue // without a watch since the last list, another list is unlikely to help
			}
		}
		l.sleep(ctx, l.settings.RetryInterval.Value())
	}
	return ctx.Err()
}

func (l *link) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// list reads all items of a source. Items of the directory that the store no longer has are removed. Changes that a watch
// has returned meanwhile are applied again if they are newer than the list.
func (l *link) list(ctx context.Context, store port.Store, s source) (int64, error) {
	l.startList(s)
	defer l.endList(s)
	callCtx, cancel := context.WithTimeout(ctx, l.settings.ListTimeout.Value())
	defer cancel()
	sent := clock.SinceBoot()
	items, revision, err := store.List(callCtx, s.prefix)
	if errors.Is(ctx.Err(), context.Canceled) {
		return 0, ctx.Err() // says nothing about the store
	}
	l.recordAnswer(s, err)
	if err != nil {
		s.answered(sent, err)
		return 0, err
	}
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		s.listed.Store(revision)
		present := make(map[string]bool, len(items))
		events := make([]port.Event, 0, len(items))
		for _, item := range items {
			present[item.Key] = true
			events = append(events, port.Event{Item: item})
		}
		for _, key := range s.keys(d) {
			if !present[key] {
				events = append(events, port.Event{Item: port.Item{Key: key}, Deleted: true})
			}
		}
		return s.markSynced(s.apply(d, append(events, s.newer(s.list.changes)...)))
	})
	s.answered(sent, nil)
	return revision, nil
}

// watch waits for changes of a source after a revision and applies them. It returns the revision up to which it has, and
// the number of changes.
func (l *link) watch(ctx context.Context, store port.Store, s source, after int64) (revision int64, changes int, err error) {
	wait := l.watchWait(s)
	callCtx, cancel := context.WithTimeout(ctx, l.settings.WatchWait.Value()+l.settings.WatchMargin.Value())
	defer cancel()
	start := clock.SinceBoot()
	events, revision, err := store.Watch(callCtx, s.prefix, after, wait)
	if ctx.Err() != nil {
		return after, 0, ctx.Err()
	}
	if err != nil && !errors.Is(err, port.ErrCompacted) {
		l.recordAnswer(s, err)
		s.answered(start, err)
		l.sleep(ctx, l.settings.RetryInterval.Value())
		return after, 0, ctx.Err() // the watch continues at the same revision
	}
	l.recordAnswer(s, nil)
	if err == nil && len(events) == 0 {
		s.answered(start, nil)
	}
	if err == nil && len(events) == 0 && clock.SinceBoot()-start < wait/2 {
		l.sleep(ctx, l.settings.RetryInterval.Value()) // the store does not wait for a change
	}
	if err != nil || len(events) == 0 {
		return max(revision, after), 0, err
	}
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		if ctx.Err() != nil {
			return d // the source is no longer watched
		}
		newer := s.newer(events)
		if s.list.open {
			s.list.changes = append(s.list.changes, newer...)
		}
		return s.apply(d, newer)
	})
	s.answered(start, nil)
	return max(revision, after), len(events), nil
}

// recordAnswer records the time of the last answer, and the start and end of an outage.
func (l *link) recordAnswer(s source, err error) {
	now := clock.SinceBoot()
	if err == nil {
		l.lastContact.Store(int64(now))
		if since := l.outageStart.Swap(0); since != 0 {
			l.outageEnd.Store(int64(now))
			l.log.Info("store answers again", "event", "store.back", "prefix", s.prefix, "after", now-time.Duration(since))
		}
		return
	}
	if l.outageStart.CompareAndSwap(0, int64(now)) {
		l.log.Warn("store does not answer", "event", "store.lost", "prefix", s.prefix, "error", err, "contact", now-l.LastContact())
	}
}

func (l *link) update(ctx context.Context, change func(cluster.Directory) cluster.Directory) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := *l.current.Load()
	var after cluster.Directory
	if err := guard.Call(func() { after = change(before) }); err != nil {
		l.log.Error("changes not applied", "event", "follow.rejected", "error", err)
		return
	}
	l.current.Store(&after)
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		l.log.Info("configuration applied", "event", "config.applied", "version", after.Config.Version, "queues", len(after.Config.Queues))
	}
	if err := kernel.Publish(ctx, l.host, port.DirectoryTopic, after); err != nil && ctx.Err() == nil {
		l.log.Warn("publishing the directory failed", "event", "follow.refused", "error", err)
	}
}

// logInvalid counts an invalid item and logs it, once for each revision.
func (l *link) logInvalid(item port.Item, err error) {
	if l.logged[item.Key] == item.Revision {
		return
	}
	if len(l.logged) >= maxLogged {
		clear(l.logged)
	}
	l.logged[item.Key] = item.Revision
	l.invalid.Inc(1)
	l.log.Warn("invalid item in the store", "event", "follow.unreadable", "key", item.Key, "revision", item.Revision, "error", err)
}

// maxLogged bounds the memory for the revisions of logged items.
const maxLogged = 4096

func (l *link) codec() port.SiteCodec {
	codec, ok := kernel.Use[port.SiteCodec](l.host)
	if !ok {
		panic("directory: no plug-in provides a site codec")
	}
	return codec
}

package directory

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
)

// Name is the plug-in's name in the settings.
const Name = "follow"

// Settings of the plug-in.
type Settings struct {
	WatchWait             kernel.Duration `json:"wait"`    // that a watch waits for a change
	WatchMargin           kernel.Duration `json:"margin"`  // added to WatchWait before a watch times out
	ListTimeout           kernel.Duration `json:"timeout"` // of a list call
	RetryInterval         kernel.Duration `json:"pause"`   // after a failed call
	ExecutorWatchInterval kernel.Duration `json:"gather"`  // between two watches of the executors, whose reports change all the time
}

// Defaults of the settings. Watches are short to bound the time until a dead connection is detected.
var Defaults = Settings{
	WatchWait:             kernel.Duration(2 * time.Second),
	WatchMargin:           kernel.Duration(700 * time.Millisecond),
	ListTimeout:           kernel.Duration(1500 * time.Millisecond),
	RetryInterval:         kernel.Duration(150 * time.Millisecond),
	ExecutorWatchInterval: kernel.Duration(400 * time.Millisecond),
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
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{host: h, log: h.Log.With("plugin", Name), settings: s, logged: map[string]int64{}}
	l.current.Store(&cluster.Directory{})
	kernel.Provide[port.Directory](h, l)
	h.RegisterDump(Name, func() any { return l.Directory() })
	return []kernel.Duty{
		{Name: "follow.operator", Run: func(ctx context.Context) error { return l.run(ctx, l.operatorSource()) }},
		{Name: "follow.executors", Run: func(ctx context.Context) error { return l.run(ctx, l.executorSource()) }},
		{Name: "follow.own", Run: func(ctx context.Context) error { return l.run(ctx, l.clusterSource()) }},
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

// source describes a key prefix whose items are watched.
type source struct {
	prefix     string
	put        func(cluster.Directory, port.Item) cluster.Directory    // applies a new or changed item
	remove     func(d cluster.Directory, key string) cluster.Directory // applies the deletion of an item
	keys       func(cluster.Directory) []string                        // keys of the items in the directory
	markSynced func(cluster.Directory) cluster.Directory               // records that the source has been listed
	interval   time.Duration                                           // between two watches
}

// run lists the items of a source and watches their changes. It lists again if the list failed or the store has
// compacted the history.
func (l *link) run(ctx context.Context, s source) error {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return errors.New("no plug-in provides a store")
	}
	for ctx.Err() == nil {
		revision, err := l.list(ctx, store, s)
		for err == nil {
			revision, err = l.watch(ctx, store, s, revision)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, port.ErrCompacted) {
			l.log.Info("store compacted the history, listing again", "event", "follow.history", "prefix", s.prefix)
			continue
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

func (l *link) list(ctx context.Context, store port.Store, s source) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, l.settings.ListTimeout.Value())
	defer cancel()
	items, revision, err := store.List(callCtx, s.prefix)
	l.recordAnswer(s, err)
	if err != nil {
		return 0, err
	}
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		present := map[string]bool{}
		for _, item := range items {
			present[item.Key] = true
			d = s.put(d, item)
		}
		for _, key := range s.keys(d) {
			if !present[key] {
				d = s.remove(d, key)
			}
		}
		return s.markSynced(d)
	})
	return revision, nil
}

func (l *link) watch(ctx context.Context, store port.Store, s source, after int64) (int64, error) {
	wait := l.settings.WatchWait.Value()
	callCtx, cancel := context.WithTimeout(ctx, wait+l.settings.WatchMargin.Value())
	defer cancel()
	events, revision, err := store.Watch(callCtx, s.prefix, after, wait)
	if err != nil && !errors.Is(err, port.ErrCompacted) {
		l.recordAnswer(s, err)
		l.sleep(ctx, l.settings.RetryInterval.Value())
		return after, ctx.Err() // the watch continues at the same revision
	}
	l.recordAnswer(s, nil)
	if err != nil || len(events) == 0 {
		return max(revision, after), err
	}
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		for _, e := range events {
			if e.Deleted {
				d = s.remove(d, e.Key)
			} else {
				d = s.put(d, e.Item)
			}
		}
		return d
	})
	if s.interval > 0 {
		l.sleep(ctx, s.interval)
	}
	return max(revision, after), nil
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
	after := change(before)
	l.current.Store(&after)
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		l.log.Info("configuration applied", "event", "config.applied", "version", after.Config.Version, "queues", len(after.Config.Queues))
	}
	if err := kernel.Publish(ctx, l.host, port.DirectoryTopic, after); err != nil && ctx.Err() == nil {
		l.log.Warn("publishing the directory failed", "event", "follow.refused", "error", err)
	}
}

// logInvalid logs an invalid item, once for each revision.
func (l *link) logInvalid(item port.Item, err error) {
	if l.logged[item.Key] == item.Revision {
		return
	}
	l.logged[item.Key] = item.Revision
	l.log.Warn("invalid item in the store", "event", "follow.unreadable", "key", item.Key, "revision", item.Revision, "error", err)
}

func (l *link) codec() port.SiteCodec {
	codec, ok := kernel.Use[port.SiteCodec](l.host)
	if !ok {
		panic("directory: no plug-in provides a site codec")
	}
	return codec
}

func (l *link) operatorSource() source {
	codec := l.codec()
	return source{
		prefix: codec.OperatorPrefix(),
		put: func(d cluster.Directory, item port.Item) cluster.Directory {
			if c, ok, err := codec.Config(item); ok {
				if err != nil {
					l.logInvalid(item, err)
					return d
				}
				return d.WithConfig(c)
			}
			if w, ok, err := codec.Wave(item); ok {
				if err != nil {
					l.logInvalid(item, err)
					return d
				}
				return d.WithWave(w, clock.SinceBoot())
			}
			return d
		},
		remove:     func(d cluster.Directory, _ string) cluster.Directory { return d }, // operators add and replace items but delete none
		keys:       func(cluster.Directory) []string { return nil },
		markSynced: func(d cluster.Directory) cluster.Directory { return d },
	}
}

func (l *link) executorSource() source {
	codec := l.codec()
	return source{
		prefix:   codec.ExecutorPrefix(),
		interval: l.settings.ExecutorWatchInterval.Value(),
		put: func(d cluster.Directory, item port.Item) cluster.Directory {
			e, err := codec.Executor(item)
			if err != nil {
				l.logInvalid(item, err)
				return d
			}
			if before, ok := d.Executors[e.ID]; ok && before.SameReport(e) {
				return d
			}
			return d.WithExecutor(e)
		},
		remove: func(d cluster.Directory, key string) cluster.Directory {
			return d.WithoutExecutor(strings.TrimPrefix(key, codec.ExecutorPrefix()), clock.SinceBoot())
		},
		keys: func(d cluster.Directory) []string {
			var keys []string
			for id := range d.Executors {
				keys = append(keys, codec.ExecutorPrefix()+id)
			}
			return keys
		},
		markSynced: func(d cluster.Directory) cluster.Directory { return d.WithSynced(false, true) },
	}
}

func (l *link) clusterSource() source {
	return source{
		prefix: cluster.Prefix,
		put:    l.putClusterRecord,
		remove: func(d cluster.Directory, key string) cluster.Directory {
			if name, ok := strings.CutPrefix(key, cluster.PrefixMember); ok {
				return d.WithoutMember(name)
			}
			return d
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

func (l *link) putClusterRecord(d cluster.Directory, item port.Item) cluster.Directory {
	switch {
	case strings.HasPrefix(item.Key, cluster.PrefixMember):
		m, err := job.Decode[cluster.Member](item.Value)
		if err != nil {
			l.logInvalid(item, err)
			return d
		}
		return d.WithMember(m)
	case strings.HasPrefix(item.Key, cluster.PrefixOwner):
		o, err := job.Decode[cluster.Owner](item.Value)
		if err != nil {
			l.logInvalid(item, err)
			return d
		}
		return d.WithOwner(o)
	}
	return d
}

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
	WatchWait    kernel.Duration `json:"wait"`    // that a watch waits for a change
	WatchMargin  kernel.Duration `json:"margin"`  // after which a watch without an answer is taken for silent
	ListTimeout kernel.Duration `json:"timeout"` // of a list
	RetryInterval   kernel.Duration `json:"pause"`   // after a call that failed
	ExecutorWatchInterval  kernel.Duration `json:"gather"`  // between two watches of the executors, whose entries change all the time
}

// Defaults of the settings. Short waits bound how long a connection that went silent stays unnoticed.
var Defaults = Settings{
	WatchWait:    kernel.Duration(2 * time.Second),
	WatchMargin:  kernel.Duration(700 * time.Millisecond),
	ListTimeout: kernel.Duration(1500 * time.Millisecond),
	RetryInterval:   kernel.Duration(150 * time.Millisecond),
	ExecutorWatchInterval:  kernel.Duration(400 * time.Millisecond),
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host     *kernel.Host
	log      *slog.Logger
	settings Settings
	mutex    sync.Mutex // orders the changes of the directory
	current  atomic.Pointer[cluster.Directory]
	contact  atomic.Int64
	lost     atomic.Int64
	back     atomic.Int64
	bad      map[string]int64 // revisions of entries that could not be read, which are logged once
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{host: h, log: h.Log.With("plugin", Name), settings: s, bad: map[string]int64{}}
	l.current.Store(&cluster.Directory{})
	kernel.Provide[port.Directory](h, l)
	h.RegisterDump(Name, func() any { return l.Directory() })
	return []kernel.Duty{
		{Name: "follow.operator", Run: func(ctx context.Context) error { return l.run(ctx, l.operator()) }},
		{Name: "follow.executors", Run: func(ctx context.Context) error { return l.run(ctx, l.executors()) }},
		{Name: "follow.own", Run: func(ctx context.Context) error { return l.run(ctx, l.own()) }},
	}, nil
}

// Directory implements port.Directory.
func (l *link) Directory() cluster.Directory { return *l.current.Load() }

// LastContact implements port.Directory.
func (l *link) LastContact() time.Duration { return time.Duration(l.contact.Load()) }

// Outage implements port.Directory.
func (l *link) Outage() (since, back time.Duration) {
	return time.Duration(l.lost.Load()), time.Duration(l.back.Load())
}

// subject is a prefix that is followed.
type subject struct {
	prefix string
	put    func(cluster.Directory, port.Item) cluster.Directory
	remove func(d cluster.Directory, key string) cluster.Directory
	keys   func(cluster.Directory) []string
	listed func(cluster.Directory) cluster.Directory
	gather time.Duration // between two watches
}

// run lists a prefix and follows its changes, again and again.
func (l *link) run(ctx context.Context, s subject) error {
	store, ok := kernel.Use[port.Store](l.host)
	if !ok {
		return errors.New("no plug-in provides a store")
	}
	for ctx.Err() == nil {
		at, err := l.list(ctx, store, s)
		for err == nil {
			at, err = l.watch(ctx, store, s, at)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, port.ErrCompacted) {
			l.log.Info("history was dropped, reading anew", "event", "follow.history", "prefix", s.prefix)
			continue
		}
		l.pause(ctx, l.settings.RetryInterval.Value())
	}
	return ctx.Err()
}

func (l *link) pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (l *link) list(ctx context.Context, store port.Store, s subject) (int64, error) {
	call, cancel := context.WithTimeout(ctx, l.settings.ListTimeout.Value())
	defer cancel()
	items, at, err := store.List(call, s.prefix)
	l.heard(s, err)
	if err != nil {
		return 0, err
	}
	l.change(ctx, func(d cluster.Directory) cluster.Directory {
		present := map[string]bool{}
		for _, i := range items {
			present[i.Key] = true
			d = s.put(d, i)
		}
		for _, key := range s.keys(d) {
			if !present[key] {
				d = s.remove(d, key)
			}
		}
		return s.listed(d)
	})
	return at, nil
}

func (l *link) watch(ctx context.Context, store port.Store, s subject, after int64) (int64, error) {
	wait := l.settings.WatchWait.Value()
	call, cancel := context.WithTimeout(ctx, wait+l.settings.WatchMargin.Value())
	defer cancel()
	events, at, err := store.Watch(call, s.prefix, after, wait)
	if err != nil && !errors.Is(err, port.ErrCompacted) {
		l.heard(s, err)
		l.pause(ctx, l.settings.RetryInterval.Value())
		return after, ctx.Err() // the watch goes on where it was
	}
	l.heard(s, nil)
	if err != nil || len(events) == 0 {
		return max(at, after), err
	}
	l.change(ctx, func(d cluster.Directory) cluster.Directory {
		for _, e := range events {
			if e.Deleted {
				d = s.remove(d, e.Key)
			} else {
				d = s.put(d, e.Item)
			}
		}
		return d
	})
	if s.gather > 0 {
		l.pause(ctx, s.gather)
	}
	return max(at, after), nil
}

// heard keeps whether the store answers.
func (l *link) heard(s subject, err error) {
	now := clock.SinceBoot()
	if err == nil {
		l.contact.Store(int64(now))
		if since := l.lost.Swap(0); since != 0 {
			l.back.Store(int64(now))
			l.log.Info("store answers again", "event", "store.back", "prefix", s.prefix, "after", now-time.Duration(since))
		}
		return
	}
	if l.lost.CompareAndSwap(0, int64(now)) {
		l.log.Warn("store does not answer", "event", "store.lost", "prefix", s.prefix, "error", err, "contact", now-l.LastContact())
	}
}

func (l *link) change(ctx context.Context, f func(cluster.Directory) cluster.Directory) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := *l.current.Load()
	after := f(before)
	l.current.Store(&after)
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		l.log.Info("configuration is in force", "event", "config.applied", "version", after.Config.Version, "queues", len(after.Config.Queues))
	}
	if err := kernel.Publish(ctx, l.host, port.DirectoryTopic, after); err != nil && ctx.Err() == nil {
		l.log.Warn("directory was not taken", "event", "follow.refused", "error", err)
	}
}

// unreadable logs an entry that cannot be used, once for each of its revisions.
func (l *link) unreadable(i port.Item, err error) {
	if l.bad[i.Key] == i.Revision {
		return
	}
	l.bad[i.Key] = i.Revision
	l.log.Warn("entry cannot be used", "event", "follow.unreadable", "key", i.Key, "revision", i.Revision, "error", err)
}

func (l *link) announcements() port.SiteCodec {
	a, ok := kernel.Use[port.SiteCodec](l.host)
	if !ok {
		panic("follow: no plug-in decodes the platform's announcements")
	}
	return a
}

func (l *link) operator() subject {
	a := l.announcements()
	return subject{
		prefix: a.OperatorPrefix(),
		put: func(d cluster.Directory, i port.Item) cluster.Directory {
			if c, ok, err := a.Config(i); ok {
				if err != nil {
					l.unreadable(i, err)
					return d
				}
				return d.WithConfig(c)
			}
			if w, ok, err := a.Wave(i); ok {
				if err != nil {
					l.unreadable(i, err)
					return d
				}
				return d.WithWave(w, clock.SinceBoot())
			}
			return d
		},
		remove: func(d cluster.Directory, _ string) cluster.Directory { return d }, // operators only add and replace
		keys:   func(cluster.Directory) []string { return nil },
		listed: func(d cluster.Directory) cluster.Directory { return d },
	}
}

func (l *link) executors() subject {
	a := l.announcements()
	return subject{
		prefix: a.ExecutorPrefix(),
		gather: l.settings.ExecutorWatchInterval.Value(),
		put: func(d cluster.Directory, i port.Item) cluster.Directory {
			e, err := a.Executor(i)
			if err != nil {
				l.unreadable(i, err)
				return d
			}
			if before, ok := d.Executors[e.ID]; ok && before.SameReport(e) {
				return d
			}
			return d.WithExecutor(e)
		},
		remove: func(d cluster.Directory, key string) cluster.Directory {
			return d.WithoutExecutor(strings.TrimPrefix(key, a.ExecutorPrefix()), clock.SinceBoot())
		},
		keys: func(d cluster.Directory) []string {
			var keys []string
			for id := range d.Executors {
				keys = append(keys, a.ExecutorPrefix()+id)
			}
			return keys
		},
		listed: func(d cluster.Directory) cluster.Directory { return d.WithSynced(false, true) },
	}
}

func (l *link) own() subject {
	return subject{
		prefix: cluster.Prefix,
		put:    l.putOwn,
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
		listed: func(d cluster.Directory) cluster.Directory { return d.WithSynced(true, false) },
	}
}

func (l *link) putOwn(d cluster.Directory, i port.Item) cluster.Directory {
	switch {
	case strings.HasPrefix(i.Key, cluster.PrefixMember):
		m, err := job.Decode[cluster.Member](i.Value)
		if err != nil {
			l.unreadable(i, err)
			return d
		}
		return d.WithMember(m)
	case strings.HasPrefix(i.Key, cluster.PrefixOwner):
		o, err := job.Decode[cluster.Owner](i.Value)
		if err != nil {
			l.unreadable(i, err)
			return d
		}
		return d.WithOwner(o)
	}
	return d
}

package directory

import (
	"context"
	"sync"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
)

// executorFollower keeps the executors in the directory current while this daemon owns a pool. Each executor writes its
// entry about once a second, so a daemon without a pool would spend most of its processor time on changes it never uses.
type executorFollower struct {
	link   *link
	source func() source
	starts *ring.Ring[session]

	mutex     sync.Mutex // guards the fields below
	followers int
	end       context.CancelFunc // ends the present session
}

// session is a period in which the executors are followed.
type session struct {
	context  context.Context
	revision int64 // of the list with which it begins
}

func newExecutorFollower(l *link) *executorFollower {
	return &executorFollower{
		link: l, source: sync.OnceValue(l.executorSource), end: func() {},
		starts: ring.New[session]("follow.starts", sessionCapacity, ring.Block, l.host.Metrics),
	}
}

// sessionCapacity is the number of sessions that may wait until the duty has left the watch of an ended one.
const sessionCapacity = 16

// Follow implements port.Executors.
func (f *executorFollower) Follow(ctx context.Context) error {
	store, ok := kernel.Use[port.Store](f.link.host)
	if !ok {
		return errNoStore
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	revision, err := f.link.list(ctx, store, f.source())
	if err != nil {
		return err
	}
	if f.followers == 0 {
		s := session{revision: revision}
		s.context, f.end = context.WithCancel(context.Background()) // it outlives the takeover that ctx bounds
		if err := f.starts.Push(ctx, s); err != nil {
			f.end()
			return err
		}
	}
	f.followers++
	return nil
}

// Unfollow implements port.Executors.
func (f *executorFollower) Unfollow() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.followers--
	if f.followers == 0 {
		f.end()
		f.link.update(context.Background(), cluster.Directory.WithoutExecutors)
	}
}

// run watches the executors in each session until it ends.
func (f *executorFollower) run(ctx context.Context) error {
	for {
		s, err := f.starts.Pull(ctx)
		if err != nil {
			return ctx.Err()
		}
		end := context.AfterFunc(ctx, f.endSession)
		_ = f.link.run(s.context, f.source(), s.revision) // returns when the session ends
		end()
	}
}

func (f *executorFollower) endSession() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.end()
}

package relay

import (
	"sync"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// executors holds the connections to executors, which the sessions of successive owners share.
type executors struct {
	mutex sync.Mutex
	byID  map[string]*sharedClient
}

// sharedClient is a client of one incarnation of an executor.
type sharedClient struct {
	port.ExecutorClient
	id        string
	address   string
	users     int
	idleSince time.Duration // since when there are no users
}

func newExecutors() *executors {
	return &executors{byID: map[string]*sharedClient{}}
}

// dialer opens clients from the shared connections.
type dialer struct {
	executors *executors
	platform  port.ExecutorDialer
}

// Open implements port.ExecutorDialer.
func (d dialer) Open(e site.Executor) port.ExecutorClient {
	x := d.executors
	x.mutex.Lock()
	defer x.mutex.Unlock()
	c, ok := x.byID[e.ID]
	if !ok || c.address != e.Address {
		c = &sharedClient{ExecutorClient: d.platform.Open(e), id: e.ID, address: e.Address}
		x.byID[e.ID] = c
	}
	c.users++
	return &user{sharedClient: c, executors: x}
}

// user is one user of a shared client.
type user struct {
	*sharedClient
	executors *executors
	once      sync.Once
}

// Close implements port.ExecutorClient. The connections stay open for the next user.
func (u *user) Close() {
	u.once.Do(func() {
		u.executors.mutex.Lock()
		defer u.executors.mutex.Unlock()
		u.users--
		u.idleSince = clock.SinceBoot()
		if u.users == 0 && u.executors.byID[u.id] != u.sharedClient {
			u.ExecutorClient.Close() // replaced by a client of another address
		}
	})
}

// closeIdle closes the clients that have had no user for a while.
func (x *executors) closeIdle(timeout time.Duration) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for id, c := range x.byID {
		if c.users == 0 && clock.SinceBoot()-c.idleSince > timeout {
			c.Close()
			delete(x.byID, id)
		}
	}
}

func (x *executors) close() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, c := range x.byID {
		c.Close()
	}
}

package etcd_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

// deadline bounds each wait of a test; it allows for a loaded machine.
const deadline = 30 * time.Second

var errEnough = errors.New("enough events")

// serve starts a platform stand-in with the given settings fields and returns its address.
func serve(c *qt.C, fields string) string {
	s, err := kernel.ParseSettings(fmt.Appendf(nil, `{"name":"s","plugins":{"platform-standin":{%s}}}`, fields))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
	})
	a, _ := kernel.Use[platform.Address](k.Host())
	return a.Address()
}

func newClient(c *qt.C, timeout time.Duration, addresses ...string) *etcd.Client {
	e, err := etcd.New(addresses, timeout)
	c.Assert(err, qt.IsNil)
	c.Cleanup(e.Close)
	return e
}

func control(c *qt.C, address, body string) {
	response, err := http.Post(address+"/control", "application/json", bytes.NewBufferString(body))
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}

// Guards against keys that are lost between pages, and against ranges that include keys without the prefix.
func TestListPrefixReadsEveryPage(t *testing.T) {
	c := qt.New(t)
	e := newClient(c, deadline, serve(c, `"writes":100000`))
	ctx := context.Background()
	const keys = 1203
	for i := range keys {
		_, done, err := e.Put(ctx, fmt.Sprintf("p/%d", i), []byte("v"), 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(done, qt.IsTrue)
	}
	_, _, err := e.Put(ctx, "p0", []byte("v"), 0, 0)
	c.Assert(err, qt.IsNil)
	pairs, revision, err := e.ListPrefix(ctx, "p/")
	c.Assert(err, qt.IsNil)
	c.Assert(pairs, qt.HasLen, keys)
	c.Assert(revision, qt.Equals, int64(keys+2))
	c.Assert(etcd.PrefixEnd("a\xff"), qt.Equals, "b")
	c.Assert(etcd.PrefixEnd(""), qt.Equals, "\x00")
}

// Guards against an error that conceals that a write may have taken effect, or reports so when it cannot have.
func TestErrorsTellWhetherWritten(t *testing.T) {
	c := qt.New(t)
	address := serve(c, `"writes":0,"reads":0`) // rate limits of 0 with a burst of 1, hence one write and one read
	e := newClient(c, deadline, address)
	ctx := context.Background()
	control(c, address, `{"lose_next":1}`)
	_, _, err := e.Put(ctx, "k", []byte("v"), 0, 0)
	c.Assert(err, qt.ErrorIs, etcd.ErrUnavailable)
	c.Assert(err, qt.ErrorIs, etcd.ErrUncertain)
	_, _, err = e.Put(ctx, "k", []byte("v"), 0, 0)
	c.Assert(err, qt.ErrorIs, etcd.ErrRateLimited)
	c.Assert(err, qt.Not(qt.ErrorIs), etcd.ErrUncertain)
	p, ok, err := e.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(p.Value), qt.Equals, "v")
	_, _, err = e.Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, etcd.ErrRateLimited)
	control(c, address, `{"writes":1000,"outage":true}`)
	_, _, err = e.Put(ctx, "k", []byte("v"), 0, 0)
	c.Assert(err, qt.ErrorIs, etcd.ErrUncertain)
	_, _, err = e.Put(ctx, "k", make([]byte, etcd.MaxValueSize+1), 0, 0)
	c.Assert(err, qt.ErrorIs, etcd.ErrInvalid)
	refusing := newClient(c, deadline, closedAddress(c))
	_, _, err = refusing.Put(ctx, "k", []byte("v"), 0, 0)
	c.Assert(err, qt.ErrorIs, etcd.ErrUnavailable)
	c.Assert(err, qt.Not(qt.ErrorIs), etcd.ErrUncertain)
}

// closedAddress returns an address on which nothing listens.
func closedAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

// Guards against a call that waits for a stalled store beyond its timeout, and against a rejected 1 MiB value.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	address := serve(c, "")
	ctx := context.Background()
	_, done, err := newClient(c, deadline, address).Put(ctx, "large", make([]byte, etcd.MaxValueSize), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(done, qt.IsTrue)
	control(c, address, `{"slow":60000}`)
	begin := time.Now()
	_, _, err = newClient(c, 50*time.Millisecond, address).Get(ctx, "k")
	c.Assert(err, qt.ErrorIs, etcd.ErrUnavailable)
	c.Assert(time.Since(begin) < deadline, qt.IsTrue)
}

// Guards against a client that keeps using an unreachable address.
func TestNextAddress(t *testing.T) {
	c := qt.New(t)
	e := newClient(c, deadline, closedAddress(c), serve(c, ""))
	_, _, err := e.Get(context.Background(), "k")
	c.Assert(err, qt.ErrorIs, etcd.ErrUnavailable)
	_, _, err = e.Get(context.Background(), "k")
	c.Assert(err, qt.IsNil)
}

// Guards against a watch that misses events after its start revision, or that conceals a compaction.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	address := serve(c, "")
	e := newClient(c, deadline, address)
	ctx := context.Background()
	first, _, err := e.Put(ctx, "p/a", []byte("1"), 0, 0)
	c.Assert(err, qt.IsNil)
	_, _, err = e.Put(ctx, "q", []byte("1"), 0, 0)
	c.Assert(err, qt.IsNil)
	var got []string
	err = e.Watch(ctx, "p/", first, func(_ int64, events []etcd.Event) error {
		for _, event := range events {
			got = append(got, event.Type+string(event.Pair.Key)+string(event.Pair.Value))
		}
		switch len(got) {
		case 1:
			_, _, err := e.Delete(ctx, "p/a", first)
			return err
		case 2:
			return errEnough
		default:
			return nil
		}
	})
	c.Assert(err, qt.Equals, errEnough)
	c.Assert(got, qt.DeepEquals, []string{"p/a1", "DELETEp/a"})
	control(c, address, `{"compact":true}`)
	err = e.Watch(ctx, "p/", first, func(int64, []etcd.Event) error { return errEnough })
	c.Assert(err, qt.ErrorIs, etcd.ErrCompacted)
}

// Guards against a watch that never ends on a connection without messages.
func TestIdleWatchEnds(t *testing.T) {
	c := qt.New(t)
	e := newClient(c, time.Second, serve(c, `"progress":3600000`))
	err := e.Watch(context.Background(), "p/", 0, func(int64, []etcd.Event) error { return nil })
	c.Assert(err, qt.ErrorIs, etcd.ErrUnavailable)
}

// Guards against a lost lease that is reported like a failed call.
func TestLease(t *testing.T) {
	c := qt.New(t)
	e := newClient(c, deadline, serve(c, ""))
	ctx := context.Background()
	id, ttl, err := e.Grant(ctx, 1500*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(ttl, qt.Equals, 2*time.Second)
	_, _, err = e.Put(ctx, "k", []byte("v"), 0, id)
	c.Assert(err, qt.IsNil)
	_, err = e.KeepAlive(ctx, id)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revoke(ctx, id), qt.IsNil)
	_, err = e.KeepAlive(ctx, id)
	c.Assert(err, qt.ErrorIs, etcd.ErrLeaseNotFound)
	c.Assert(e.Revoke(ctx, id), qt.ErrorIs, etcd.ErrLeaseNotFound)
	_, _, err = e.Put(ctx, "k", []byte("v"), 0, id)
	c.Assert(err, qt.ErrorIs, etcd.ErrLeaseNotFound)
	_, ok, err := e.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
}

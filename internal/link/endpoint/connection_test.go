package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/link/endpoint"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

// serveCounted starts an HTTP server that counts its open connections and all connections so far.
func serveCounted(t *testing.T, handle http.HandlerFunc) (address string, open, all *atomic.Int64) {
	open, all = &atomic.Int64{}, &atomic.Int64{}
	address = serve(t, handle, func(s *http.Server) {
		s.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
				all.Add(1)
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			case http.StateActive, http.StateIdle:
			}
		}
	})
	return address, open, all
}

// Guards against more connections to an executor than it accepts from all entry instances together.
//
// It fails if connTable.release does not call retireSurplus.
func TestIdleConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	publish := func(e string, deleted bool) {
		err := kernel.Publish(context.Background(), p.kernel.Host(), message.RecordTopic,
			message.RecordChanged{Record: record.Member{Entry: e}, Deleted: deleted})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(kernel.Publish(context.Background(), p.kernel.Host(), message.ConfigTopic, message.ConfigChanged{Fleet: fleet.Fleet{
		Pools:    []fleet.Pool{{Name: "p", Instances: []fleet.Instance{{ID: "e"}}}},
		Services: []fleet.Service{{Name: "s", Pool: "p", Slots: 8, Connections: 20}},
	}}), qt.IsNil)
	publish("a", false)
	publish("b", false)
	release := make(chan struct{})
	var waiting atomic.Int64
	address, open, _ := serveCounted(t, func(w http.ResponseWriter, r *http.Request) {
		waiting.Add(1)
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			got, outcome, err := p.send(address, request("GET", fmt.Sprint("/", i), nil, ""))
			c.Check(outcome, qt.Equals, message.Answered, qt.Commentf("%v", err))
			c.Check(got, qt.Equals, fmt.Sprint("/", i))
		})
	}
	eventually(c, "requests in flight", func() bool { return waiting.Load() == 16 })
	free()
	group.Wait()
	eventually(c, "(20-8)/2 idle connections", func() bool { return open.Load() == 6 && p.usage(c, address).Idle == 6 })
	for _, e := range []string{"c", "d", "e", "f"} {
		publish(e, false)
	}
	eventually(c, "(20-8)/6 idle connections", func() bool { return open.Load() == 2 && p.usage(c, address).Open == 2 })
	c.Check(p.usage(c, address).MaxIdle, qt.Equals, 2)
	publish("f", true)
	eventually(c, "limit for 5 members", func() bool { return p.usage(c, address).MaxIdle == 12/5 })
}

// Guards against long-lived connections that keep the load on the executors that were ready first.
func TestConnectionsAreReplacedByAge(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{"age":"30ms"}`)
	address, _, all := serveCounted(t, func(http.ResponseWriter, *http.Request) {})
	started := time.Now()
	for time.Since(started) < 300*time.Millisecond {
		_, outcome, err := p.send(address, request("POST", "/s", nil, "k"))
		c.Assert(outcome, qt.Equals, message.Answered, qt.Commentf("%v", err))
	}
	c.Check(all.Load() >= 5, qt.IsTrue, qt.Commentf("%d connections in 300 ms", all.Load()))
}

// Guards against opening a connection while an idle one is available.
func TestConnectionsAreReused(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	address, _, all := serveCounted(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	for i := range 300 {
		_, outcome, err := p.send(address, request("POST", "/s", make([]byte, i*40), "k"))
		c.Assert(outcome, qt.Equals, message.Answered, qt.Commentf("%v", err))
	}
	c.Check(all.Load(), qt.Equals, int64(1))
}

// Guards against wrong limits after a move between pools, for an unknown executor or without member records.
func TestConnLimits(t *testing.T) {
	c := qt.New(t)
	l := endpoint.NewConnLimits()
	c.Check(l.MaxIdle("e"), qt.Equals, 56)
	l = l.WithFleet(fleet.Fleet{
		Pools: []fleet.Pool{{Name: "p", Instances: []fleet.Instance{{ID: "e"}}}, {Name: "q"}},
		Services: []fleet.Service{
			{Pool: "p", Slots: 8, Connections: 64},
			{Pool: "p", Slots: 8, Connections: 40},
			{Pool: "q", Slots: 8, Connections: 4},
		},
	})
	c.Check(l.MaxIdle("e"), qt.Equals, 32)
	c.Check(l.WithPool("e", "q").MaxIdle("e"), qt.Equals, 0)
	c.Check(l.WithPool("e", "q").WithDeclaredPool("e").MaxIdle("e"), qt.Equals, 32)
	l = l.WithMember("a").WithMember("b").WithMember("b")
	c.Check(l.MaxIdle("e"), qt.Equals, 16)
	c.Check(l.WithoutMember("a").WithoutMember("a").MaxIdle("e"), qt.Equals, 32)
}

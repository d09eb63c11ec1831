package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/standin/site"

	qt "github.com/frankban/quicktest"
)

func order(c *qt.C, e *site.Executor, path, body string) {
	r, err := http.Post("http://"+e.Address()+path, "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer func() { _ = r.Body.Close() }()
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against a lapse between the end of a run and its acknowledgement that observers are not told of.
func TestLapse(t *testing.T) {
	c := qt.New(t)
	events := make(chan site.Event, 16)
	e, err := site.NewExecutor(site.ExecutorOptions{ID: "i-1", Lease: time.Minute, Observe: func(e site.Event) { events <- e }})
	c.Assert(err, qt.IsNil)
	defer e.Close()
	order(c, e, "/run-start", `{"task":"short","run-id":1,"spec":"1ms","fencing-token":1,"expires-ms":400}`)
	order(c, e, "/run-start", `{"task":"long","run-id":1,"spec":"1h","fencing-token":1,"expires-ms":400}`)
	time.Sleep(600 * time.Millisecond)
	order(c, e, "/hold", `{"fencing-token":1,"expires-ms":60000,"ack-seq":2}`)
	order(c, e, "/hold", `{"fencing-token":1,"expires-ms":60000,"ack-seq":2}`)
	var got []string
	for len(events) > 0 {
		switch x := (<-events).(type) {
		case site.End:
			got = append(got, fmt.Sprintf("end %s %s", x.Task, x.How))
		case site.Lapse:
			got = append(got, "lapse")
		case site.Noted:
			got = append(got, "noted "+x.Task)
		case site.Start, site.Upkeep, site.Gone:
		}
	}
	c.Assert(got, qt.DeepEquals, []string{"end short done", "end long lapsed", "lapse", "noted short", "noted long"})
}

// Guards against entries of isolated executors that stay in the store, and those that never come back.
func TestIsolate(t *testing.T) {
	c := qt.New(t)
	s, err := site.New(2, 0)
	c.Assert(err, qt.IsNil)
	defer func() { _ = s.Close() }()
	published := func(id string) bool {
		_, ok := s.Store.Get("servers/" + id)
		return ok
	}
	s.Isolate([]string{"i-1"})
	time.Sleep(4 * time.Second)
	c.Check(published("i-1"), qt.IsTrue)
	time.Sleep(time.Second)
	c.Check(published("i-1"), qt.IsFalse)
	c.Check(published("i-2"), qt.IsTrue)
	s.Crash("i-1")
	time.Sleep(500 * time.Millisecond)
	c.Check(published("i-3"), qt.IsFalse)
	s.Rejoin()
	time.Sleep(2500 * time.Millisecond)
	c.Check(published("i-3"), qt.IsTrue)
}

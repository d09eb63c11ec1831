package site_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/standin/site"

	qt "github.com/frankban/quicktest"
)

// Guards against a stand-in that refuses or drops calls for the former incarnation of an executor, which the users'
// executors carry out, or that keeps runs or fencing tokens over a restart.
func TestRestartedExecutorCarriesOutFormerCalls(t *testing.T) {
	c := qt.New(t)
	events := make(chan site.Event, 10)
	s, err := site.NewWith(site.Options{Instances: 1, Observe: func(e site.Event) { events <- e }})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(s.Close(), qt.IsNil) }()
	e := s.Executors()[0]
	order(c, e, "/run-start", `{"task":"a","run-id":1,"spec":"1h","fencing-token":9,"expires-ms":60000}`)
	c.Assert((<-events).(site.Start).Task, qt.Equals, "a")
	s.Restart(e.ID, 300*time.Millisecond)
	c.Assert((<-events).(site.Gone).Executor, qt.Equals, e.ID)
	client := http.Client{Timeout: 100 * time.Millisecond}
	_, err = client.Post("http://"+e.Address()+"/run-start", "application/json", //nolint:bodyclose,noctx // it gets no answer
		strings.NewReader(`{"task":"b","run-id":1,"spec":"1h","fencing-token":3,"expires-ms":60000}`))
	c.Assert(err, qt.IsNotNil)
	c.Assert((<-events).(site.Start).Task, qt.Equals, "b")
	c.Assert(len(events), qt.Equals, 0)
}

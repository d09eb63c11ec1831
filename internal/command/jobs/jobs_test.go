package jobs_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	_ "teaselloft/internal/command/jobs"
	"teaselloft/internal/core/command"

	qt "github.com/frankban/quicktest"
)

// newDaemon starts an HTTP server that answers with a dump, as a daemon's metrics listener, and returns its address.
func newDaemon(c *qt.C, dump string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, dump)
	}))
	c.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func run(arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "test")
	program.Writer, program.ErrWriter = &out, &out
	err := program.Run(context.Background(), append([]string{"teaselloft", "jobs"}, arguments...))
	return out.String(), err
}

// Guards against showing a pool's former owner, whose dump has a lower epoch, and against omitting states.
func TestShowsOwnersAndExecutors(t *testing.T) {
	c := qt.New(t)
	formerOwner := newDaemon(c, `{"pool":{"calendar":{"epoch":1,"open":9}}}`)
	owner := newDaemon(c, `{"pool":{"calendar":{"epoch":2,"open":3,"ready":1,"executors":[
		{"id":"i-2","instance":"m-2","rack":"r1","open":true,"silent":1500000000,"barred":true,"runs":2,"used":{"CPU":1500},"capacity":{"CPU":4000}},
		{"id":"i-1","instance":"m-1","rack":"r1","open":true,"used":{"CPU":500},"capacity":{"CPU":4000}}]},
		"*fleet":{"visits":{"m-7":"{wave:1}"},"done":{"1":4}}}}`)
	out, err := run(owner, formerOwner, "127.0.0.1:1")
	c.Assert(err, qt.IsNil)
	fields := strings.Join(strings.Fields(out), " ")
	for _, row := range []string{
		"calendar " + owner + " 2 3 1 0 2 2.0 8.0",
		"i-1 calendar m-1 r1 0 0.5 4.0 -",
		"i-2 calendar m-2 r1 2 1.5 4.0 silent for 1.5s, barred",
		"m-7 {wave:1}", "1 4", "127.0.0.1:1 did not answer",
	} {
		c.Check(fields, qt.Contains, row)
	}
	out, err = run("--output", "json", owner)
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Contains, `"owners"`)
}

// Guards against reporting success when no daemon answers or none is given.
func TestNoDaemonAnswers(t *testing.T) {
	c := qt.New(t)
	_, err := run("127.0.0.1:1")
	c.Assert(err, qt.ErrorMatches, `(?s).*no daemon answered`)
	_, err = run()
	c.Assert(err, qt.ErrorMatches, "jobs takes the metrics addresses of daemons, got none")
}

package request_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	_ "teaselloft/internal/command/request"
	"teaselloft/internal/core/command"

	qt "github.com/frankban/quicktest"
)

func run(arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "test")
	program.Writer, program.ErrWriter = &out, &out
	err := program.Run(context.Background(), append([]string{"teaselloft", "request"}, arguments...))
	return out.String(), err
}

// Guards against headers, a body or a path that differ from the command's arguments.
func TestRequest(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h := r.Header
		w.Header().Set("Teaselloft-Outcome", "answered")
		w.Header().Set("Teaselloft-Correction", "flag-calender>flag-calendar (correction)")
		w.Header().Set("Teaselloft-Config", "7")
		fmt.Fprintf(w, "%s %s %s|%s|%s|%s|%s", r.Method, r.URL.RequestURI(), body,
			h.Get("Idempotency-Key"), h.Get("Priority"), h.Get("Request-Timeout"), h.Get("Teaselloft-Fleet"))
	}))
	defer s.Close()
	path := filepath.Join(c.TempDir(), "body")
	c.Assert(os.WriteFile(path, []byte("half"), 0o600), qt.IsNil)
	out, err := run("--entry", s.URL, "--data", "@"+path, "--key", "n-1", "--priority", "0", "--timeout", "1500ms",
		"--fleet", "flags", "--output", "json", "post", "flag-calender/declare?day=1")
	c.Assert(err, qt.IsNil)
	var got struct{ Status, Outcome, Correction, Config, Body any }
	c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
	c.Check(got.Body, qt.Equals, `POST /flag-calender/declare?day=1 half|"n-1"|u=0|1.5|flags`)
	c.Check(got.Correction, qt.Equals, "flag-calender>flag-calendar (correction)")
	out, err = run("--entry", s.URL, "GET", "/flag-calendar")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "200     answered")
	c.Check(out, qt.Contains, "GET /flag-calendar ||u=3|10|")
}

// Guards against reporting success for a request that was rejected, failed or never sent, and against sending it again.
func TestRequestFails(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		switch r.URL.Path {
		case "/refused":
			w.Header().Set("Teaselloft-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/failed":
			w.Header().Set("Teaselloft-Outcome", "answered")
			w.WriteHeader(http.StatusNotFound)
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	for path, want := range map[string]string{
		"refused": `request was not answered with success: status 503, outcome "not-run"`,
		"failed":  `request was not answered with success: status 404, outcome "answered"`,
		"cut":     `send request, its outcome is unknown: .*`,
	} {
		calls.Store(0)
		_, err := run("--entry", s.URL, "POST", path)
		c.Check(err, qt.ErrorMatches, want)
		c.Check(calls.Load(), qt.Equals, int32(1))
	}
	calls.Store(0)
	for want, arguments := range map[string][]string{
		"flag --entry is missing":               {"GET", "a"},
		"flag --timeout must be above 0 .*":     {"--entry", s.URL, "--timeout", "31s", "GET", "a"},
		"flag --priority must be from 0 to 7.*": {"--entry", s.URL, "--priority", "8", "GET", "a"},
		"read body: .*":                         {"--entry", s.URL, "--data", "@/none", "GET", "a"},
		`usage: .* METHOD NAME/PATH, got 1 .*`:  {"--entry", s.URL, "GET"},
	} {
		_, err := run(arguments...)
		c.Check(err, qt.ErrorMatches, want)
	}
	c.Check(calls.Load(), qt.Equals, int32(0))
}

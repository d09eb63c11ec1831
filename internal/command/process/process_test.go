package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	_ "teaselloft/internal/command/process"
	"teaselloft/internal/core/command"

	qt "github.com/frankban/quicktest"
)

const status = `{"name":"entry-1","site":"kartli","zone":"ka","config":7,
"members":[{"entry":"entry-2","zone":"kb","config":6,"since":"2026-12-04T12:00:00Z"}],
"services":[{"name":"flag-calendar","fleet":"flags","pool":"calendar","owner":"entry-2","epoch":3,"budget":9,"out":["cal-1"]}],
"pools":[{"name":"calendar","fleet":"flags","instances":12,"states":{"serving":11,"draining":1}}],
"waves":[{"id":"w-1","zone":"ka","most":2,"phase":"running"}],
"misspellings":[{"name":"flag-calender","service":"flag-calendar","corrected":41},{"name":"falg","refused":2}]}`

// newListener starts a fake operator listener that requires the token "secret" and returns its address.
func newListener(c *qt.C) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, status) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"config":{"version":7},"route":{"html":"<b>"}}`)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("name") == "later" {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":"no configuration yet"}`)
			return
		}
		fmt.Fprintf(w, `{"name":%q,"rule":"nearest","service":"%s/%s","available":8,"config":7}`, q.Get("name"), q.Get("method"), q.Get("fleet"))
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			fmt.Fprint(w, `{"error":"token is wrong"}`)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	c.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func run(arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "test")
	program.Writer, program.ErrWriter = &out, &out
	err := program.Run(context.Background(), append([]string{"teaselloft"}, arguments...))
	return out.String(), err
}

// Guards against a status that omits what operators look for, such as the most frequent misspelled names.
func TestStatus(t *testing.T) {
	c := qt.New(t)
	c.Setenv("TEASELLOFT_TOKEN", "secret")
	c.Setenv("TEASELLOFT_OPERATOR", newListener(c))
	out, err := run("status")
	c.Assert(err, qt.IsNil)
	for _, row := range []string{
		`flag-calendar  flags  calendar  entry-2  3      9       cal-1`,
		`calendar  flags  12         11 serving, 1 draining`,
		`w-1   running  zone ka  2`,
		`flag-calender  flag-calendar  41`,
		`falg           -              2`,
	} {
		c.Check(out, qt.Contains, row)
	}
	out, err = run("status", "--config")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, ""+
		"ENTRY    ZONE  CONFIG  SINCE\n"+
		"entry-2  kb    6       2026-12-04T12:00:00Z\n"+
		"entry-1  ka    7       -\n")
	out, err = run("status", "--output", "json")
	c.Assert(err, qt.IsNil)
	c.Check(json.Valid([]byte(out)), qt.IsTrue)
	c.Check(out, qt.Contains, `"misspellings": [`)
}

// Guards against a dump that is altered, for example by HTML escaping, and a section that cannot be read alone.
func TestDump(t *testing.T) {
	c := qt.New(t)
	address := newListener(c)
	out, err := run("dump", "--operator", address, "--token", "secret", "route")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, "{\n  \"html\": \"<b>\"\n}\n")
	_, err = run("dump", "--operator", address, "--token", "secret", "none")
	c.Check(err, qt.ErrorMatches, `section "none" does not exist; there are config, route`)
}

// Guards against an explanation for a method or fleet other than the requested one.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	flags := []string{"explain", "--operator", newListener(c), "--token", "secret", "--method", "post", "--fleet", "rist"}
	out, err := run(append(flags, "a b&c")...)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "a b&c  nearest  POST/rist  -")
	_, err = run(append(flags, "later")...)
	c.Check(err, qt.ErrorMatches, `operator listener .* answered 503: no configuration yet`)
}

// Guards against reporting success when the operator listener rejects the request, is unreachable or sends no JSON.
func TestOperatorRequestFails(t *testing.T) {
	c := qt.New(t)
	_, err := run("status", "--operator", newListener(c), "--token", "wrong")
	c.Check(err, qt.ErrorMatches, `operator listener .* answered 401: token is wrong`)
	_, err = run("status")
	c.Check(err, qt.ErrorMatches, "flag --operator is missing")
	_, err = run("status", "--operator", "127.0.0.1:1")
	c.Check(err, qt.IsNotNil)
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "no JSON") }))
	defer plain.Close()
	_, err = run("status", "--operator", plain.URL)
	c.Check(err, qt.IsNotNil)
}

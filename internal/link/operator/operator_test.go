package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	protocol "teaselloft/internal/protocol/operator"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/link/operator"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	qt "github.com/frankban/quicktest"
)

// waitTimeout bounds every wait of these tests.
const waitTimeout = 20 * time.Second

// explainer replaces the routing duty. Its explanations repeat the arguments.
type explainer struct{}

func (explainer) Explain(_ context.Context, name, fleet, method string) (message.Explanation, error) {
	if name == "fail" {
		return message.Explanation{}, errors.New("not now")
	}
	return message.Explanation{Name: name, Rule: fleet + "/" + method, Service: "flag-calendar"}, nil
}

// partitionInjector replaces the entry link and records the partitions that it receives.
type partitionInjector struct{ got chan message.Partition }

func (i partitionInjector) Inject(p message.Partition) { i.got <- p }

var injector = partitionInjector{got: make(chan message.Partition, 10)}

func init() {
	kernel.Register("route", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		kernel.Provide[message.Explainer](h, explainer{})
		kernel.Provide[message.PartitionInjector](h, injector)
		h.RegisterDump("route", func() any {
			return map[string]any{"misspellings": []correct.NameCount{{Name: "<b>calender", Service: "flag-calendar", Corrected: 41, Refused: 2}}}
		})
		return nil, nil
	})
}

const token = "t0ken-of-operators"

func build(section string) (*kernel.Kernel, error) {
	s, err := kernel.ParseSettings([]byte(fmt.Sprintf(`{"name":"entry-1","zone":"a","site":"kartli","plugins":{"route":{},"operator":%s}}`, section)))
	if err != nil {
		return nil, err
	}
	return kernel.New(s, slog.New(slog.DiscardHandler))
}

func start(t *testing.T, section string) (k *kernel.Kernel, url string) {
	c := qt.New(t)
	k, err := build(section)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return k, "http://" + k.Host().DumpState()[operator.Name].(map[string]string)["address"]
}

func call(c *qt.C, method, url, token, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	r.Close = true
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(data)
}

const withToken = `{"listen":{"address":"127.0.0.1:0"},"token":"` + token + `"}`

// Guards against settings that leave the listener without authentication outside loopback.
func TestSettingsNeedToken(t *testing.T) {
	c := qt.New(t)
	for _, section := range []string{
		`{"listen":{"address":"127.0.0.1:0"}}`,
		`{"listen":{"address":"0.0.0.0:0"},"open":true}`,
		`{"listen":{"address":":0"},"open":true}`,
		`{"listen":{"address":"127.0.0.1:0"},"open":true,"token":"x"}`,
	} {
		_, err := build(section)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", section))
	}
	_, url := start(t, `{"listen":{"address":"127.0.0.1:0"},"open":true}`)
	status, _ := call(c, "GET", url+"/dump", "", "")
	c.Check(status, qt.Equals, http.StatusOK)
}

// Guards against a path that is served without the token.
func TestTokenIsRequired(t *testing.T) {
	c := qt.New(t)
	_, url := start(t, `{"listen":{"address":"127.0.0.1:0"},"faults":true,"token":"`+token+`"}`)
	for _, path := range []string{"/", "/dump", "/metrics", "/status", "/explain?name=x", "/cut", "/other"} {
		for _, wrong := range []string{"", "wrong", token + "x", token[1:]} {
			status, body := call(c, "GET", url+path, wrong, "")
			c.Check(status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s %q", path, wrong))
			c.Check(strings.Contains(body, token), qt.IsFalse)
		}
	}
	status, _ := call(c, "POST", url+"/cut", "", `{"entry":"b","in":true}`)
	c.Check(status, qt.Equals, http.StatusUnauthorized)
	c.Check(len(injector.got), qt.Equals, 0)
}

// Guards against a status or a page that lacks the state of the site, and against an answer that contains the token.
func TestStatusAndPage(t *testing.T) {
	c := qt.New(t)
	k, url := start(t, withToken)
	ctx := context.Background()
	c.Assert(kernel.Publish(ctx, k.Host(), message.ConfigTopic, message.ConfigChanged{Fleet: fleet.Fleet{
		Version:  12,
		Pools:    []fleet.Pool{{Name: "calendar", Fleet: "halyard", Instances: []fleet.Instance{{ID: "cal-1"}, {ID: "cal-2"}}}},
		Services: []fleet.Service{{Name: "flag-calendar", Fleet: "halyard", Pool: "calendar", Budget: fleet.Budget{Available: 7}}},
	}}), qt.IsNil)
	for _, r := range []record.Record{
		record.Member{Entry: "entry-2", Address: "127.0.0.1:9"},
		record.Owner{Service: "flag-calendar", Entry: "entry-2", Epoch: 4},
		record.Ledger{Service: "flag-calendar", Out: []string{"cal-2"}},
		record.Instance{ID: "cal-2", Pool: "calendar", State: record.Draining},
		record.Wave{ID: "wave-9", Phase: record.Running, Progress: map[string]record.WaveProgress{"cal-2": {Step: "draining"}}},
	} {
		c.Assert(kernel.Publish(ctx, k.Host(), message.RecordTopic, message.RecordChanged{Record: r}), qt.IsNil)
	}
	var got protocol.Status
	for end := time.Now().Add(waitTimeout); len(got.Waves) == 0; {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		status, body := call(c, "GET", url+"/status", token, "")
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(json.Unmarshal([]byte(body), &got), qt.IsNil)
	}
	c.Check(got.Name, qt.Equals, "entry-1")
	c.Check(got.Config, qt.Equals, uint64(12))
	c.Check(got.Members[0].Entry, qt.Equals, "entry-2")
	c.Check(got.Services, qt.DeepEquals, []protocol.Service{{
		Name: "flag-calendar", Fleet: "halyard", Pool: "calendar", Owner: "entry-2", Epoch: 4, Budget: 7, Out: []string{"cal-2"},
	}})
	c.Check(got.Pools, qt.DeepEquals, []protocol.Pool{{
		Name: "calendar", Fleet: "halyard", Instances: 2, States: map[string]int{"serving": 1, "draining": 1},
	}})
	c.Check(got.Misspellings[0].Corrected, qt.Equals, uint64(41))

	_, page := call(c, "GET", url+"/", token, "")
	for _, want := range []string{"version 12", "entry-2", "flag-calendar", "cal-2", "wave-9", "&lt;b&gt;calender", "41"} {
		c.Check(strings.Contains(page, want), qt.IsTrue, qt.Commentf("%s", want))
	}
	c.Check(strings.Contains(page, "<script"), qt.IsFalse)
	for _, path := range []string{"/", "/dump", "/metrics", "/status"} {
		status, body := call(c, "GET", url+path, token, "")
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(strings.Contains(body, token), qt.IsFalse, qt.Commentf("%s shows the token", path))
	}
	_, metrics := call(c, "GET", url+"/metrics", token, "")
	c.Check(json.Valid([]byte(metrics)), qt.IsTrue)
}

// Guards against an explanation that ignores the name, fleet or method of the query.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	_, url := start(t, withToken)
	status, body := call(c, "GET", url+"/explain?name=flag-calender&fleet=halyard&method=POST", token, "")
	c.Check(status, qt.Equals, http.StatusOK)
	var e message.Explanation
	c.Assert(json.Unmarshal([]byte(body), &e), qt.IsNil)
	c.Check(e, qt.DeepEquals, message.Explanation{Name: "flag-calender", Rule: "halyard/POST", Service: "flag-calendar"})
	status, _ = call(c, "GET", url+"/explain", token, "")
	c.Check(status, qt.Equals, http.StatusBadRequest)
	status, _ = call(c, "GET", url+"/explain?name=fail", token, "")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against partitions in a process without fault injection, and against partitions from invalid requests.
func TestInjectPartition(t *testing.T) {
	c := qt.New(t)
	_, url := start(t, withToken)
	status, _ := call(c, "POST", url+"/cut", token, `{"entry":"b","in":true}`)
	c.Check(status, qt.Equals, http.StatusNotFound)

	_, url = start(t, `{"listen":{"address":"127.0.0.1:0"},"faults":true,"token":"`+token+`"}`)
	for _, bad := range []string{``, `{}`, `{"entry":"b","both":true}`, `{"entry":"b"} x`} {
		status, _ = call(c, "POST", url+"/cut", token, bad)
		c.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", bad))
	}
	c.Check(len(injector.got), qt.Equals, 0)
	status, _ = call(c, "POST", url+"/cut", token, `{"entry":"b","in":true}`)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(<-injector.got, qt.Equals, message.Partition{Entry: "b", In: true})
}

package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

func serve(c *qt.C) string {
	s, err := kernel.ParseSettings([]byte(`{"name":"s","plugins":{"platform-standin":{"lag":0}}}`))
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

// post returns the status and the body of an answer, or the error of a call without one.
func post(address, path, body string) (int, string, error) {
	response, err := http.Post(address+path, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against a form of the gateway's messages that only this project's client understands.
func TestGatewayForm(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	txn := `{"compare":[{"target":"MOD","result":"EQUAL","key":"aw==","mod_revision":"0"}],` +
		`"success":[{"request_put":{"key":"aw==","value":"dg=="}}]}`
	for _, call := range []struct{ path, body, want string }{
		{"/v3/kv/txn", txn, `{"header":{"revision":"2"},"succeeded":true}`},
		{"/v3/kv/txn", txn, `{"header":{"revision":"2"}}`},
		{
			"/v3/kv/range", `{"key":"aw=="}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"aw==","value":"dg==","create_revision":"2","mod_revision":"2","version":"1"}],"count":"1"}`,
		},
		{"/v3/lease/grant", `{"TTL":"5"}`, `{"header":{"revision":"2"},"ID":"1","TTL":"5"}`},
		{"/v3/lease/keepalive", `{"ID":"1"}`, `{"result":{"header":{"revision":"2"},"ID":"1","TTL":"5"}}`},
		{"/v3/lease/keepalive", `{"ID":"9"}`, `{"result":{"header":{"revision":"2"},"ID":"9"}}`},
	} {
		status, got, err := post(address, call.path, call.body)
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", call.path))
		c.Check(got, qt.Equals, call.want+"\n", qt.Commentf("%s %s", call.path, call.body))
	}
}

// Guards against calls beyond the published subset that are served in some way.
func TestOutsideTheSubset(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	for _, body := range []string{
		`{}`,
		`{"compare":[{"target":"VERSION","result":"EQUAL","key":"aw=="}],"success":[{"request_put":{"key":"aw=="}}]}`,
		`{"compare":[{"target":"MOD","result":"EQUAL","key":"aw=="}],"success":[{"request_put":{"key":"bA=="}}]}`,
		`{"compare":[{"target":"MOD","result":"EQUAL","key":"aw=="}],"success":[{}]}`,
	} {
		status, _, err := post(address, "/v3/kv/txn", body)
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", body))
	}
}

// Guards against a misspelled fault that is not injected, and against a stand-in that cannot be controlled in an outage.
func TestControl(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	status, _, err := post(address, "/control", `{"outtage":true}`)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	_, _, err = post(address, "/control", `{"outage":true}`)
	c.Assert(err, qt.IsNil)
	_, _, err = post(address, "/v3/kv/range", `{"key":"aw=="}`)
	c.Assert(err, qt.IsNotNil)
	_, _, err = post(address, "/v1/instances", `{"ttl":1000,"instances":[]}`)
	c.Assert(err, qt.IsNil)
	_, _, err = post(address, "/control", `{"outage":false,"list_outage":true}`)
	c.Assert(err, qt.IsNil)
	_, _, err = post(address, "/v3/kv/range", `{"key":"aw=="}`)
	c.Assert(err, qt.IsNil)
	_, _, err = post(address, "/v1/instances", `{"ttl":1000,"instances":[]}`)
	c.Assert(err, qt.IsNotNil)
}

// Guards against faults that hit other calls than the ones they are for.
func TestAdmit(t *testing.T) {
	c := qt.New(t)
	share, next, slow := 0.5, 1, 20
	f := platform.Faults{}.WithControl(platform.Control{Lose: &share, LoseNext: &next, Slow: &slow})
	delay := 20 * time.Millisecond
	for _, call := range []struct {
		kind   platform.Kind
		within bool
		random float64
		want   platform.Verdict
	}{
		{platform.KindRange, true, 0.1, platform.Serve{Delay: delay}},
		{platform.KindList, false, 0.1, platform.Serve{}},
		{platform.KindTxn, false, 0.1, platform.Limit{}},
		{platform.KindKeepAlive, true, 0.9, platform.Serve{Delay: delay}},
		{platform.KindKeepAlive, true, 0.1, platform.Serve{Delay: delay, Lose: true}},
		{platform.KindTxn, true, 0.9, platform.Serve{Delay: delay, Lose: true}},
		{platform.KindTxn, true, 0.9, platform.Serve{Delay: delay}},
	} {
		var got platform.Verdict
		f, got = f.Admit(call.kind, call.within, call.random)
		c.Check(got, qt.Equals, call.want, qt.Commentf("%v", fmt.Sprint(call)))
	}
	outage := true
	_, got := f.WithControl(platform.Control{Outage: &outage}).Admit(platform.KindWatch, true, 0)
	c.Assert(got, qt.Equals, platform.Verdict(platform.Drop{}))
}

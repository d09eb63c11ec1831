package endpoint_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/endpoint"
	"teaselloft/internal/standin/executor"
	"teaselloft/internal/standin/platform"

	qt "github.com/frankban/quicktest"
)

// deadline bounds each wait of a test; it is generous for loaded machines.
const deadline = 30 * time.Second

// rig runs an endpoint stand-in that registers with a platform stand-in.
type rig struct {
	c         *qt.C
	addresses endpoint.Addresses
	platform  string
	stop      func()
	client    *http.Client
}

func newRig(t *testing.T, fields string) rig {
	c := qt.New(t)
	p, _ := start(c, `{"platform-standin":{"lag":0}}`)
	address, _ := kernel.Use[platform.Address](p)
	text := fmt.Sprintf(`{"endpoint-standin":{"service":"s","count":2,"beat":50,"ttl":1000,"linger":0,"platform":[%q]%s}}`,
		address.Address(), fields)
	h, stop := start(c, text)
	addresses, _ := kernel.Use[endpoint.Addresses](h)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: deadline}
	c.Cleanup(client.CloseIdleConnections)
	return rig{c: c, addresses: addresses, platform: address.Address(), stop: stop, client: client}
}

func start(c *qt.C, plugins string) (*kernel.Host, func()) {
	c.Helper()
	s, err := kernel.ParseSettings(fmt.Appendf(nil, `{"name":"standin","zone":"z1","plugins":%s}`, plugins))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			c.Check(err, qt.IsNil)
		case <-time.After(deadline):
			c.Errorf("process does not stop")
		}
	})
	c.Cleanup(stop)
	return k.Host(), stop
}

// send posts to the first executor.
func (r rig) send(key, run string) (endpoint.Answer, error) {
	request, err := http.NewRequest(http.MethodPost,
		"http://"+r.addresses.Executors()[0].Address+"/declare?x=1", bytes.NewBufferString("body"))
	r.c.Assert(err, qt.IsNil)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set(endpoint.HeaderRun, run)
	response, err := r.client.Do(request)
	if err != nil {
		return endpoint.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return endpoint.Answer{}, err
	}
	var a endpoint.Answer
	return a, json.Unmarshal(body, &a)
}

func (r rig) control(body string) {
	r.c.Helper()
	response, err := r.client.Post(r.addresses.Control()+"/control", "application/json", bytes.NewBufferString(body))
	r.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	r.c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}

func (r rig) get(url string, into any) {
	r.c.Helper()
	response, err := r.client.Get(url)
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	r.c.Assert(json.NewDecoder(response.Body).Decode(into), qt.IsNil)
}

func (r rig) counters() endpoint.Counters {
	r.c.Helper()
	var counters map[string]endpoint.Counters
	r.get(r.addresses.Control()+"/counters", &counters)
	return counters["s-1"]
}

// states returns the states on the instance list by executor.
func (r rig) states() map[string]string {
	var list []message.Listing
	r.get(r.platform+"/v1/instances", &list)
	states := map[string]string{}
	for _, l := range list {
		states[l.ID] = l.State
	}
	return states
}

func (r rig) await(what string, holds func() bool) {
	r.c.Helper()
	for end := time.Now().Add(deadline); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.c.Fatalf("deadline passed: %s", what)
		}
	}
}

// An answer must echo its request so that a caller can match the two.
func TestAnswerEchoesRequest(t *testing.T) {
	r := newRig(t, "")
	a, err := r.send("k1", "0s")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(a, qt.Equals, endpoint.Answer{
		Service: "s", Executor: "s-1", Method: "POST", Path: "/declare?x=1", Key: "k1",
		Hash: "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5",
	})
}

// Executions and oversubscription must be counted.
func TestCounters(t *testing.T) {
	r := newRig(t, `,"slots":2`)
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			_, err := r.send("same", "300ms")
			r.c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
	got := r.counters()
	r.c.Assert(got.Keys, qt.DeepEquals, map[string]int{"same": 3})
	r.c.Assert(got.Highest, qt.Equals, 3)
	r.c.Assert(got.Over, qt.Equals, 1)
	r.c.Assert(got.Most, qt.Equals, 3)
}

// Each failure mode must look different to a caller.
func TestFailures(t *testing.T) {
	r := newRig(t, "")
	r.control(`{"fail":"half"}`)
	_, err := r.send("half", "0s")
	r.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	r.control(`{"fail":"refuse"}`)
	r.await("connections are refused", func() bool {
		_, err := r.send("refused", "0s")
		return err != nil
	})
	_, err = r.send("refused again", "0s")
	r.c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
	r.control(`{"fail":"none"}`)
	r.await("connections are accepted", func() bool {
		_, err := r.send("back", "0s")
		return err == nil
	})
	got := r.counters()
	r.c.Assert(got.Keys["half"], qt.Equals, 1)
	r.c.Assert(got.Keys["refused again"], qt.Equals, 0)
	r.control(`{"fail":"close"}`)
	_, err = r.send("closed", "0s")
	r.c.Assert(err, qt.IsNotNil)
	r.c.Assert(r.counters().Keys["closed"] > 0, qt.IsTrue)
}

// A reboot must abort running requests, and the executor must accept requests afterwards.
func TestReboot(t *testing.T) {
	r := newRig(t, "")
	failed := make(chan error, 1)
	go func() {
		_, err := r.send("cut", "10m")
		failed <- err
	}()
	r.await("request runs", func() bool { return r.counters().Running == 1 })
	r.control(`{"reboot":300,"executors":["s-1"]}`)
	select {
	case err := <-failed:
		r.c.Assert(err, qt.IsNotNil)
	case <-time.After(deadline):
		r.c.Fatal("request outlives the reboot")
	}
	r.await("executor is back", func() bool {
		_, err := r.send("back", "0s")
		return err == nil
	})
	r.c.Assert(r.counters().Running, qt.Equals, 0)
}

// A frozen executor must not run requests, and must run the deferred ones when the freeze ends.
func TestFreeze(t *testing.T) {
	r := newRig(t, "")
	r.control(`{"freeze":3600000}`)
	done := make(chan error, 1)
	go func() {
		_, err := r.send("held", "0s")
		done <- err
	}()
	r.await("request is held", func() bool { return r.counters().Held == 1 })
	r.c.Assert(r.counters().Executions, qt.Equals, 0)
	r.control(`{"freeze":0}`)
	r.c.Assert(<-done, qt.IsNil)
	r.c.Assert(r.counters().Executions, qt.Equals, 1)
}

// A stop must mark the executors as leaving on the instance list and finish the requests in flight.
func TestStopFinishesRequests(t *testing.T) {
	r := newRig(t, "")
	r.await("executors are listed", func() bool { return r.states()["s-2"] == "live" })
	done := make(chan error, 1)
	go func() {
		_, err := r.send("last", "1s")
		done <- err
	}()
	r.await("request runs", func() bool { return r.counters().Running == 1 })
	go r.stop()
	r.await("executors are leaving", func() bool { return r.states()["s-1"] == "leaving" })
	r.c.Assert(<-done, qt.IsNil)
}

// An unknown failure mode must not be valid.
func TestModes(t *testing.T) {
	c := qt.New(t)
	c.Assert(executor.ModeHalf.Valid(), qt.IsTrue)
	c.Assert(executor.Mode("hlaf").Valid(), qt.IsFalse)
}

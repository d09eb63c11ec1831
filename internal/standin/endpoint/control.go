package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/executor"
)

// Control is the body of POST /control; omitted fields leave their settings unchanged.
type Control struct {
	Executors []string       `json:"executors,omitempty"` // IDs, all by default
	Run       *int           `json:"run,omitempty"`       // ms
	Leaving   *bool          `json:"leaving,omitempty"`
	Fail      *executor.Mode `json:"fail,omitempty"`
	Freeze    *int           `json:"freeze,omitempty"` // ms during which no request is started or answered
	Reboot    *int           `json:"reboot,omitempty"` // ms during which connections are refused
}

// messages returns the executor messages that apply the change at the given time.
func (c Control) messages(now time.Time) []executor.Message {
	var found []executor.Message
	if c.Run != nil {
		found = append(found, executor.SetRun{Run: ms(*c.Run)})
	}
	if c.Leaving != nil {
		found = append(found, executor.SetLeaving{Leaving: *c.Leaving})
	}
	if c.Fail != nil {
		found = append(found, executor.SetMode{Mode: *c.Fail})
	}
	if c.Freeze != nil {
		found = append(found, executor.Freeze{Now: now, For: ms(*c.Freeze)})
	}
	if c.Reboot != nil {
		found = append(found, executor.Reboot{Now: now, For: ms(*c.Reboot)})
	}
	return found
}

// Counters holds the counters that GET /counters returns for one executor.
type Counters struct {
	executor.Counters
	Keys map[string]int `json:"keys"` // executions by idempotency key
}

// controller serves the control listener.
type controller struct {
	listener   net.Listener
	executors  []*runner
	heartbeats *ring.Ring[struct{}]
	log        *slog.Logger
}

// run serves until ctx ends.
func (c *controller) run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", c.serveControl)
	mux.HandleFunc("GET /counters", c.serveCounters)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	c.log.Info("endpoint stand-in listening", "event", "listen", "control", c.Control())
	if err := server.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve control listener: %w", err)
	}
	return ctx.Err()
}

// Control returns the base address of the control listener.
func (c *controller) Control() string {
	return "http://" + c.listener.Addr().String()
}

// Executors returns the executors with their addresses, all as live.
func (c *controller) Executors() []message.Listing {
	var found []message.Listing
	for _, x := range c.executors {
		found = append(found, x.config.listing(x.service, x.address, "live"))
	}
	return found
}

func (c *controller) serveControl(w http.ResponseWriter, r *http.Request) {
	var change Control
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := c.apply(r.Context(), change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply sends a change to the selected executors and requests a heartbeat.
func (c *controller) apply(ctx context.Context, change Control) error {
	if change.Fail != nil && !change.Fail.Valid() {
		return fmt.Errorf("mode %q does not exist", *change.Fail)
	}
	for _, id := range change.Executors {
		if !slices.ContainsFunc(c.executors, func(x *runner) bool { return x.config.ID == id }) {
			return fmt.Errorf("executor %q does not exist", id)
		}
	}
	now := time.Now()
	for _, x := range c.executors {
		if len(change.Executors) > 0 && !slices.Contains(change.Executors, x.config.ID) {
			continue
		}
		for _, m := range change.messages(now) {
			if err := x.calls.Push(ctx, applyMessage{message: m}); err != nil {
				return err
			}
		}
	}
	c.wake(ctx)
	return nil
}

// wake requests a heartbeat; a full ring means that one is already pending.
func (c *controller) wake(ctx context.Context) {
	_ = c.heartbeats.Push(ctx, struct{}{})
}

// serveCounters writes the counters by executor; ?least=2 omits keys that were executed only once.
func (c *controller) serveCounters(w http.ResponseWriter, r *http.Request) {
	least, err := strconv.Atoi(r.URL.Query().Get("least"))
	if err != nil {
		least = 1
	}
	counters := map[string]Counters{}
	for _, x := range c.executors {
		s, err := ask(r.Context(), x, func(reply *ring.Ring[executor.State]) call { return readState{reply: reply} })
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		counters[x.config.ID] = Counters{Counters: s.Counters(), Keys: s.Executions(least)}
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller receives a truncated answer if this fails.
	_ = json.NewEncoder(w).Encode(counters)
}

// leave marks every executor as leaving.
func (c *controller) leave(ctx context.Context) error {
	leaving := true
	return c.apply(ctx, Control{Leaving: &leaving})
}

// drain serves for the grace period, in which callers notice the leaving mark, and then finishes the requests
// in flight.
func (c *controller) drain(ctx context.Context, grace time.Duration) error {
	if !pause(ctx, grace) {
		return ctx.Err()
	}
	errs := make([]error, len(c.executors))
	var group sync.WaitGroup
	for i, x := range c.executors {
		group.Go(func() {
			err, lost := ask(ctx, x, func(reply *ring.Ring[error]) call { return drain{ctx: ctx, reply: reply} })
			errs[i] = errors.Join(err, lost)
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

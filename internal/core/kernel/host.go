package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"

	"teaselloft/internal/core/ring"

	"github.com/rcrowley/go-metrics"
)

// Duty is a long-running goroutine of a plug-in; the process stops when its Run returns.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Port identifies a ring through which plug-ins send values to the duty that pulls from it.
type Port[T any] struct {
	Name     string
	Capacity int
	Policy   ring.Policy
}

// Topic identifies a publish-subscribe stream with any number of subscribers.
type Topic[T any] struct {
	Name string
}

// Host gives plug-ins access to their process: its settings, log, metrics, rings, topics and services.
type Host struct {
	Settings Settings
	Log      *slog.Logger
	Metrics  metrics.Registry

	mutex     sync.Mutex
	ports     map[string]any
	topics    map[string]any
	services  map[reflect.Type]any
	dumps     map[string]func() any
	stopHooks []stopHook
	duties    []Duty
	stopping  chan struct{}
}

type stopHook struct {
	phase Phase
	run   func(ctx context.Context) error
}

// Phase is a step of a graceful stop; every hook of a phase returns before the next phase begins.
type Phase int

// The phases of a graceful stop, in order.
const (
	PhaseNotReady Phase = iota // report the process as not ready and refuse new work
	PhaseDrain                 // finish the work in flight
	PhaseRelease               // release leases and ownership
)

func newHost(s Settings, log *slog.Logger) *Host {
	return &Host{
		Settings: s,
		Log:      log.With("entry", s.Name),
		Metrics:  metrics.NewRegistry(),
		ports:    map[string]any{},
		topics:   map[string]any{},
		services: map[reflect.Type]any{},
		dumps:    map[string]func() any{},
		stopping: make(chan struct{}),
	}
}

// Open returns the ring of a port, which the first call creates; later calls ignore the capacity and the policy.
//
// It panics when the port's name is in use with another item type.
func Open[T any](h *Host, p Port[T]) *ring.Ring[T] {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if r, ok := h.ports[p.Name]; ok {
		return r.(*ring.Ring[T])
	}
	r := ring.New[T](p.Name, p.Capacity, p.Policy, h.Metrics)
	h.ports[p.Name] = r
	return r
}

// Subscribe calls sink with every value published on the topic; call it only from a plug-in's build function.
func Subscribe[T any](h *Host, t Topic[T], sink func(ctx context.Context, v T) error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	sinks, _ := h.topics[t.Name].([]func(context.Context, T) error)
	h.topics[t.Name] = append(sinks, sink)
}

// Publish calls the topic's subscribers one after another and stops at the first error.
func Publish[T any](ctx context.Context, h *Host, t Topic[T], v T) error {
	h.mutex.Lock()
	sinks, _ := h.topics[t.Name].([]func(context.Context, T) error)
	h.mutex.Unlock()
	for _, sink := range sinks {
		if err := sink(ctx, v); err != nil {
			return fmt.Errorf("publish on topic %q: %w", t.Name, err)
		}
	}
	return nil
}

// Provide registers the implementation of the interface T for other plug-ins; call it only from a plug-in's build
// function.
func Provide[T any](h *Host, v T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.services[reflect.TypeFor[T]()] = v
}

// Use returns the implementation of T registered with Provide, or false when there is none.
//
// Call it from a duty: while plug-ins are built, one that is built later may still provide T.
func Use[T any](h *Host) (T, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	v, ok := h.services[reflect.TypeFor[T]()].(T)
	return v, ok
}

// RegisterDump registers a section of the state dump; f must be safe for concurrent use.
func (h *Host) RegisterDump(section string, f func() any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.dumps[section] = f
}

// DumpState returns the state dump, keyed by section.
func (h *Host) DumpState() map[string]any {
	h.mutex.Lock()
	dumps := make(map[string]func() any, len(h.dumps))
	for name, f := range h.dumps {
		dumps[name] = f
	}
	h.mutex.Unlock()
	state := make(map[string]any, len(dumps))
	for name, f := range dumps {
		state[name] = f()
	}
	return state
}

// OnStop registers a hook for the given phase of a graceful stop.
func (h *Host) OnStop(phase Phase, run func(ctx context.Context) error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopHooks = append(h.stopHooks, stopHook{phase: phase, run: run})
}

// RegisterDuty registers a duty of something that several plug-ins share; call it only from a plug-in's build function.
func (h *Host) RegisterDuty(d Duty) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.duties = append(h.duties, d)
}

// Stopping returns a channel that closes when a graceful stop begins, before the first stop hook runs.
func (h *Host) Stopping() <-chan struct{} {
	return h.stopping
}

// runStopHooks runs the stop hooks phase by phase; the hooks of a phase run concurrently.
func (h *Host) runStopHooks(ctx context.Context) {
	close(h.stopping)
	h.mutex.Lock()
	hooks := slices.Clone(h.stopHooks)
	h.mutex.Unlock()
	for phase := PhaseNotReady; phase <= PhaseRelease; phase++ {
		h.runPhase(ctx, phase, hooks)
	}
}

func (h *Host) runPhase(ctx context.Context, phase Phase, hooks []stopHook) {
	var group sync.WaitGroup
	for _, hook := range hooks {
		if hook.phase != phase {
			continue
		}
		group.Go(func() {
			if err := hook.run(ctx); err != nil {
				h.Log.Warn("stop hook failed", "event", "stop.failed", "phase", int(phase), "error", err)
			}
		})
	}
	group.Wait()
}

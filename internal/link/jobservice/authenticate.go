package jobservice

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/confirmation"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// refusalLogInterval is the least time between two log lines about refusals of one kind.
const refusalLogInterval = time.Second

// refusal counts and logs the refusals of one kind.
type refusal struct {
	count metrics.Counter
	event string
	log   rate.Sometimes
}

// authenticator counts and logs the refused keys. Neither log lines nor the state dump have a key.
type authenticator struct {
	log          *slog.Logger
	unauthorized refusal
	stale        refusal
	history      atomic.Pointer[keyHistory]

	mutex    sync.Mutex // guards the field below
	refusals refusals
}

func newAuthenticator(h *kernel.Host, log *slog.Logger) *authenticator {
	kind := func(event string) refusal {
		return refusal{count: metrics.GetOrRegisterCounter(event, h.Metrics), event: event, log: rate.Sometimes{Interval: refusalLogInterval}}
	}
	a := &authenticator{log: log, unauthorized: kind("desk.unauthorized"), stale: kind("desk.stale"), refusals: newRefusals()}
	a.history.Store(&keyHistory{})
	return a
}

// observe remembers the keys of a configuration. Of two concurrent changes one may be lost until the next request.
func (a *authenticator) observe(config *site.Config) {
	known := a.history.Load()
	if known.config == config {
		return
	}
	after := known.With(config)
	a.history.CompareAndSwap(known, &after)
}

// refusedAs returns what a refused request is counted by.
func (a *authenticator) refusedAs(q site.Queue, key string, config *site.Config, err error) refusedAs {
	account, known := config.Keys.Account(key)
	r := refusedAs{account: account, queue: q.Name, reason: port.RefusalUnknownKey}
	switch {
	case errors.Is(err, port.ErrStaleConfig):
		r.reason = port.RefusalStaleConfig
	case key == "":
		r.reason = port.RefusalMissingKey
	}
	if !known {
		if r.account, known = a.history.Load().removed.Account(key); known && r.reason == port.RefusalUnknownKey {
			r.reason = port.RefusalRemovedKey
		}
	}
	return r
}

// refuse counts a refusal and logs it, unless a line about the same kind was written shortly before.
func (a *authenticator) refuse(r refusedAs, err error) {
	a.mutex.Lock()
	a.refusals = a.refusals.With(r, clock.SinceBoot())
	a.mutex.Unlock()
	x := &a.unauthorized
	if errors.Is(err, port.ErrStaleConfig) {
		x = &a.stale
	}
	x.count.Inc(1)
	x.log.Do(func() {
		a.log.Info("request refused", "event", x.event, "queue", r.queue, "account", r.account, "kind", string(r.reason), "reason", err, "refused", x.count.Count())
	})
}

// dump returns the section about the refused requests for the state dump.
func (a *authenticator) dump() any {
	a.mutex.Lock()
	x := a.refusals
	a.mutex.Unlock()
	return map[string]any{"refusals": x.summary(clock.SinceBoot())}
}

// Authenticate implements port.JobService. The queue may come from an earlier configuration than the present one.
func (s *service) Authenticate(q site.Queue, key string) (string, error) {
	directory, ok := kernel.Use[port.Directory](s.host)
	if !ok {
		return "", port.ErrNoConfig
	}
	confirmedAt, confirmed := directory.ConfigConfirmed() // read before the configuration, which is then at least as new
	config := directory.Directory().Config
	switch {
	case config == nil:
		return "", port.ErrNoConfig
	case !config.HasAccounts() || config.Present(q).Anonymous:
		return "", nil
	}
	s.keys.observe(config)
	err := port.ErrUnauthorized
	if !confirmed || !confirmation.IsFresh(clock.SinceBoot(), confirmedAt) {
		err = port.ErrStaleConfig
	} else if account, ok := config.Keys.Account(key); ok {
		return account, nil
	}
	s.keys.refuse(s.keys.refusedAs(q, key, config, err), err)
	return "", err
}

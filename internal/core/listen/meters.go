package listen

import (
	"log/slog"
	"sync"
	"time"

	"teaselloft/internal/decision/shedding"

	"github.com/rcrowley/go-metrics"
)

// Kinds of refusals and of timeouts, as names in metrics and log lines.
const (
	refusedRequest    = "request"
	refusedConnection = "connection"
	refusedHead       = "head" // it is too large
	slowHead          = "head"
	slowBody          = "body"
	slowReader        = "answer"
)

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// meters count refusals and cut-offs.
type meters struct{ kinds map[string]*meter }

type meter struct {
	log     *slog.Logger
	event   string
	kind    string
	counter metrics.Counter

	mutex  sync.Mutex
	logged time.Time
	since  int // since the last log line
}

func newMeters(log *slog.Logger, r metrics.Registry) meters {
	m := meters{kinds: map[string]*meter{}}
	add := func(event, kind string) {
		name := event + "." + kind
		m.kinds[name] = &meter{log: log, event: event, kind: kind, counter: metrics.GetOrRegisterCounter(name, r)}
	}
	for _, kind := range []string{refusedRequest, refusedConnection, refusedHead} {
		add("listen.refused", kind)
	}
	for _, kind := range []string{slowHead, slowBody, slowReader} {
		add("listen.timeout", kind)
	}
	for _, reason := range shedding.Reasons {
		add("listen.closed", reason.String())
	}
	return m
}

func (m meters) refused(kind string, n int) { m.kinds["listen.refused."+kind].add(n) }

func (m meters) timeout(kind string) { m.kinds["listen.timeout."+kind].add(1) }

func (m meters) closed(reason shedding.Reason, n int) {
	m.kinds["listen.closed."+reason.String()].add(n)
}

// add counts, and logs at most one line each interval with the number of cases since the last one.
func (m *meter) add(n int) {
	if n == 0 {
		return
	}
	m.counter.Inc(int64(n))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.since += n
	if time.Since(m.logged) < logInterval {
		return
	}
	m.log.Warn("clients exceed the limits", "event", m.event, "kind", m.kind, "count", m.since)
	m.logged, m.since = time.Now(), 0
}

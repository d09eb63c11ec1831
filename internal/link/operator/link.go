package operator

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"html/template"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	protocol "teaselloft/internal/protocol/operator"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

var (
	errNoToken      = errors.New(`field "token" is missing; without one the listener must be on loopback and "open"`)
	errNotLoopback  = errors.New(`field "open" is allowed on a loopback address only`)
	errTokenAndOpen = errors.New(`fields "token" and "open" exclude each other`)
)

func init() {
	kernel.Register(Name, Defaults, build)
}

// link is the operators' HTTP listener of a process.
type link struct {
	settings Settings
	host     *kernel.Host
	log      *slog.Logger
	view     atomic.Pointer[View]
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	l := &link{settings: s, host: h, log: h.Log.With("plugin", Name)}
	view := NewView()
	l.view.Store(&view)
	updates := ring.New[update]("operator.updates", updateCapacity, ring.Block, h.Metrics)
	subscribe(h, updates)
	server, err := listen.Open(h, s.Listen, l.handler(), l.log)
	if err != nil {
		return nil, err
	}
	h.RegisterDump(Name, func() any { return map[string]string{"address": server.Address()} })
	// The misspellings are read from the state dump, so this section of the dump cannot include them.
	h.RegisterDump("status", func() any { return newStatus(h.Settings, *l.view.Load(), nil) })
	h.OnStop(kernel.PhaseRelease, server.Drain)
	return []kernel.Duty{
		{Name: "operator.accept", Run: server.Run},
		{Name: "operator.view", Run: func(ctx context.Context) error { return maintainView(ctx, updates, &l.view) }},
	}, nil
}

// validate requires either a token or, on a loopback address only, anonymous access.
func (s Settings) validate() error {
	switch {
	case s.Token != "" && s.AllowAnonymous:
		return errTokenAndOpen
	case s.AllowAnonymous && !s.Listen.Loopback():
		return errNotLoopback
	case s.Token == "" && !s.AllowAnonymous:
		return errNoToken
	default:
		return nil
	}
}

func (l *link) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", l.dump)
	mux.HandleFunc("GET /metrics", l.metrics)
	mux.HandleFunc("GET /status", l.status)
	mux.HandleFunc("GET /explain", l.explain)
	mux.HandleFunc("GET /{$}", l.page)
	if l.settings.FaultInjection {
		mux.HandleFunc("POST /cut", l.injectPartition)
	}
	return l.requireToken(mux)
}

// requireToken rejects requests without the bearer token, unless anonymous requests are allowed.
func (l *link) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.settings.AllowAnonymous && !listen.Authorized(r, l.settings.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			l.replyError(w, http.StatusUnauthorized, "bearer token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *link) dump(w http.ResponseWriter, r *http.Request) {
	l.reply(w, r, func() any { return l.host.DumpState() })
}

func (l *link) metrics(w http.ResponseWriter, r *http.Request) {
	l.reply(w, r, func() any { return l.host.Metrics.GetAll() })
}

func (l *link) currentStatus() protocol.Status {
	return newStatus(l.host.Settings, *l.view.Load(), misspellings(l.host.DumpState()))
}

func (l *link) status(w http.ResponseWriter, r *http.Request) {
	l.reply(w, r, func() any { return l.currentStatus() })
}

func (l *link) page(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := page.Execute(w, l.currentStatus()); err != nil {
		l.log.Debug("page was not delivered", "event", "operator.write", "error", err)
	}
}

func (l *link) explain(w http.ResponseWriter, r *http.Request) {
	explainer, ok := kernel.Use[message.Explainer](l.host)
	if !ok {
		l.replyError(w, http.StatusNotImplemented, "no plug-in of this process explains names")
		return
	}
	query := r.URL.Query()
	if query.Get("name") == "" {
		l.replyError(w, http.StatusBadRequest, `parameter "name" is missing`)
		return
	}
	method := query.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	e, err := explainer.Explain(r.Context(), query.Get("name"), query.Get("fleet"), method)
	if err != nil {
		l.replyError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	l.reply(w, r, func() any { return e })
}

func (l *link) injectPartition(w http.ResponseWriter, r *http.Request) {
	injector, ok := kernel.Use[message.PartitionInjector](l.host)
	if !ok {
		l.replyError(w, http.StatusNotImplemented, "no plug-in of this process can be cut off")
		return
	}
	var p message.Partition
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		l.replyError(w, http.StatusBadRequest, err.Error())
		return
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || p.Entry == "" {
		l.replyError(w, http.StatusBadRequest, `body must be one object with the field "entry"`)
		return
	}
	l.log.Warn("changing the simulated partition of an entry instance", "event", "operator.cut", "peer", p.Entry, "in", p.In, "out", p.Out)
	injector.Inject(p)
	l.reply(w, r, func() any { return p })
}

func (l *link) reply(w http.ResponseWriter, r *http.Request, value func() any) {
	data, err := listen.Encode(r.Context(), func() ([]byte, error) { return json.MarshalIndent(value(), "", "  ") })
	switch {
	case errors.Is(err, listen.ErrNoRoom):
		w.Header().Set("Retry-After", "1")
		l.replyError(w, http.StatusServiceUnavailable, err.Error())
		return
	case err != nil:
		l.replyError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(data, '\n')); err != nil {
		l.log.Debug("answer was not delivered", "event", "operator.write", "error", err)
	}
}

func (l *link) replyError(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(map[string]string{"error": detail}); err != nil {
		l.log.Debug("answer was not delivered", "event", "operator.write", "error", err)
	}
}

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
	errNoToken  = errors.New(`field "token" is missing; without one the listener must be on loopback and "open"`)
	errOpen     = errors.New(`field "open" is allowed on a loopback address only`)
	errBothAuth = errors.New(`fields "token" and "open" exclude each other`)
)

func init() {
	kernel.Register(Name, Defaults, build)
}

// link is the operators' listener of a process.
type link struct {
	settings Settings
	host     *kernel.Host
	log      *slog.Logger
	view     atomic.Pointer[View]
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	l := &link{settings: s, host: h, log: h.Log.With("plugin", Name)}
	view := NewView()
	l.view.Store(&view)
	updates := ring.New[update]("operator.updates", updateCapacity, ring.Block, h.Metrics)
	follow(h, updates)
	server, err := listen.Open(s.Listen, l.handler(), l.log)
	if err != nil {
		return nil, err
	}
	h.RegisterDump(Name, func() any { return map[string]string{"address": server.Address()} })
	h.RegisterDump("status", func() any { return newStatus(h.Settings, *l.view.Load(), nil) })
	h.OnStop(kernel.PhaseRelease, server.Drain)
	return []kernel.Duty{
		{Name: "operator.accept", Run: server.Run},
		{Name: "operator.view", Run: func(ctx context.Context) error { return watch(ctx, updates, &l.view) }},
	}, nil
}

// check refuses a listener that anybody could use.
func (s Settings) check() error {
	switch {
	case s.Token != "" && s.Open:
		return errBothAuth
	case s.Open && !s.Listen.Loopback():
		return errOpen
	case s.Token == "" && !s.Open:
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
	if l.settings.Faults {
		mux.HandleFunc("POST /cut", l.cut)
	}
	return l.guard(mux)
}

// guard lets only operators pass.
func (l *link) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.settings.Open && !listen.Authorized(r, l.settings.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			l.fail(w, http.StatusUnauthorized, "bearer token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *link) dump(w http.ResponseWriter, _ *http.Request) {
	l.reply(w, l.host.DumpState())
}

func (l *link) metrics(w http.ResponseWriter, _ *http.Request) {
	l.reply(w, l.host.Metrics.GetAll())
}

func (l *link) current() protocol.Status {
	return newStatus(l.host.Settings, *l.view.Load(), misspellings(l.host.DumpState()))
}

func (l *link) status(w http.ResponseWriter, _ *http.Request) {
	l.reply(w, l.current())
}

func (l *link) page(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := page.Execute(w, l.current()); err != nil {
		l.log.Debug("page was not delivered", "event", "operator.write", "error", err)
	}
}

func (l *link) explain(w http.ResponseWriter, r *http.Request) {
	explainer, ok := kernel.Use[message.Explainer](l.host)
	if !ok {
		l.fail(w, http.StatusNotImplemented, "no plug-in of this process explains names")
		return
	}
	query := r.URL.Query()
	if query.Get("name") == "" {
		l.fail(w, http.StatusBadRequest, `parameter "name" is missing`)
		return
	}
	method := query.Get("method")
	if method == "" {
		method = http.MethodGet
	}
	e, err := explainer.Explain(r.Context(), query.Get("name"), query.Get("fleet"), method)
	if err != nil {
		l.fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	l.reply(w, e)
}

func (l *link) cut(w http.ResponseWriter, r *http.Request) {
	cutter, ok := kernel.Use[message.PartitionInjector](l.host)
	if !ok {
		l.fail(w, http.StatusNotImplemented, "no plug-in of this process can be cut off")
		return
	}
	var c message.Partition
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommand))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		l.fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) || c.Entry == "" {
		l.fail(w, http.StatusBadRequest, `body must be one object with the field "entry"`)
		return
	}
	l.log.Warn("changing the cut to an entry instance", "event", "operator.cut", "peer", c.Entry, "in", c.In, "out", c.Out)
	cutter.Inject(c)
	l.reply(w, c)
}

func (l *link) reply(w http.ResponseWriter, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		l.fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(data, '\n')); err != nil {
		l.log.Debug("answer was not delivered", "event", "operator.write", "error", err)
	}
}

func (l *link) fail(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(map[string]string{"error": detail}); err != nil {
		l.log.Debug("answer was not delivered", "event", "operator.write", "error", err)
	}
}

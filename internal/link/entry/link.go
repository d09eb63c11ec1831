package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

func init() {
	kernel.Register(Name, Defaults, build)
}

// link holds what the listener and the links to other entry instances share.
type link struct {
	settings  Settings
	self      string
	log       *slog.Logger
	route     *ring.Ring[message.Event]
	directory atomic.Pointer[Directory]
	cuts      *cuts
	meters    meters
	client    *http.Client
	scheme    string
	sessions  sessions
	base      context.Context // ends with the stop, after which reports do not matter
	end       context.CancelFunc
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	if s.Credential == "" {
		return nil, errNoCredential
	}
	reloader, err := listen.NewCertReloader(s.TLS, h.Log)
	if err != nil {
		return nil, err
	}
	l := &link{
		settings: s,
		self:     h.Settings.Name,
		log:      h.Log.With("plugin", Name),
		route:    kernel.Open(h, message.RoutePort),
		cuts:     &cuts{entries: map[string]message.Partition{}},
		meters:   newMeters(h.Metrics),
		sessions: sessions{open: map[string]Session{}},
	}
	l.base, l.end = context.WithCancel(context.Background())
	l.client, l.scheme = newClient(reloader)
	directory := NewDirectory(l.self)
	l.directory.Store(&directory)
	a := newAcceptor(l)
	server, err := listen.Open(s.Listen, a, l.log)
	if err != nil {
		return nil, err
	}
	w := &switchboard{
		link:    l,
		frames:  kernel.Open(h, message.FramePort),
		updates: ring.New[update]("entry.updates", updateCapacity, ring.Block, h.Metrics),
		peers:   map[string]*peer{},
	}
	kernel.Subscribe(h, message.RecordTopic, w.changed)
	kernel.Provide[message.PartitionInjector](h, l.cuts)
	h.RegisterDump(Name, func() any { return dump{Address: server.Address(), Links: l.sessions.list()} })
	return []kernel.Duty{
		{Name: "entry.accept", Run: func(ctx context.Context) error {
			defer a.wait()
			return server.Run(ctx)
		}},
		{Name: "entry.link", Run: w.run},
	}, nil
}

// newClient returns the client of the handshakes; it uses no proxy and keeps no connection.
func newClient(reloader *listen.CertReloader) (client *http.Client, scheme string) {
	t := &http.Transport{DisableKeepAlives: true}
	if reloader == nil {
		return &http.Client{Transport: t}, "ws"
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return listen.Dial(ctx, &net.Dialer{}, reloader, network, address)
	}
	return &http.Client{Transport: t}, "wss"
}

// changed stores member records before the publisher goes on, so that a hello that follows is checked against them.
func (w *switchboard) changed(ctx context.Context, c message.RecordChanged) error {
	switch r := c.Record.(type) {
	case record.Member:
		if c.Deleted {
			w.link.know(func(d Directory) Directory { return d.WithoutMember(r.Entry) })
			return w.updates.Push(ctx, left{entry: r.Entry})
		}
		before := w.link.know(func(d Directory) Directory { return d.WithMember(r) })
		if m, ok := before.Member(r.Entry); ok && m.Incarnation == r.Incarnation && m.Address == r.Address {
			return nil
		}
		return w.updates.Push(ctx, joined{entry: r.Entry})
	case record.Owner, record.Claim, record.ClaimSegment, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		return nil
	default:
		panic(fmt.Sprintf("entry: record %T is not handled", r))
	}
}

// know replaces the directory and returns the one before.
func (l *link) know(change func(Directory) Directory) Directory {
	for {
		before := l.directory.Load()
		after := change(*before)
		if l.directory.CompareAndSwap(before, &after) {
			return *before
		}
	}
}

// report tells the routing duty something that it must learn, waiting while its ring is full.
func (l *link) report(e message.Event) {
	if err := l.route.PushWait(l.base, e); err != nil && l.base.Err() == nil {
		l.meters.lost.Inc(1)
		l.log.Warn("routing duty takes no events", "event", "entry.lost", "error", err)
	}
}

// Session is an open link, as the state dump shows it.
type Session struct {
	Entry       string    `json:"entry"`
	Incarnation string    `json:"incarnation"`
	Direction   string    `json:"direction"` // out for links that this entry instance dialed
	Since       time.Time `json:"since"`
}

type dump struct {
	Address string    `json:"address"`
	Links   []Session `json:"links"`
}

// sessions lists the open links for the state dump.
type sessions struct {
	mutex sync.Mutex
	open  map[string]Session
	next  uint64
}

// add lists a session until the returned function is called.
func (s *sessions) add(session Session) (remove func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	key := fmt.Sprintf("%s %s %d", session.Entry, session.Direction, s.next)
	s.open[key] = session
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.open, key)
	}
}

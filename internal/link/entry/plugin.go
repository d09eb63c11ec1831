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

// plugin holds the state that the acceptor and the outgoing links share.
type plugin struct {
	settings   Settings
	self       string
	log        *slog.Logger
	route      *ring.Ring[message.Event]
	directory  atomic.Pointer[Directory]
	partitions *partitions
	meters     meters
	client     *http.Client
	scheme     string
	links      linkTable
	base       context.Context // canceled on shutdown, after which lost reports are neither counted nor logged
	cancel     context.CancelFunc
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	if s.Credential == "" {
		return nil, errNoCredential
	}
	reloader, err := listen.NewCertReloader(s.TLS, h.Log)
	if err != nil {
		return nil, err
	}
	p := &plugin{
		settings:   s,
		self:       h.Settings.Name,
		log:        h.Log.With("plugin", Name),
		route:      kernel.Open(h, message.RoutePort),
		partitions: &partitions{byEntry: map[string]message.Partition{}},
		meters:     newMeters(h.Metrics),
		links:      linkTable{open: map[string]LinkInfo{}},
	}
	p.base, p.cancel = context.WithCancel(context.Background())
	p.client, p.scheme = newClient(reloader)
	directory := NewDirectory(p.self)
	p.directory.Store(&directory)
	a := newAcceptor(p)
	server, err := listen.OpenPeers(h, s.Listen, a, p.log)
	if err != nil {
		return nil, err
	}
	out := &sender{
		plugin:  p,
		frames:  kernel.Open(h, message.FramePort),
		updates: ring.New[update]("entry.updates", updateCapacity, ring.Block, h.Metrics),
		peers:   map[string]*peer{},
	}
	kernel.Subscribe(h, message.RecordTopic, out.handleRecord)
	kernel.Provide[message.PartitionInjector](h, p.partitions)
	h.RegisterDump(Name, func() any { return dump{Address: server.Address(), Links: p.links.list()} })
	return []kernel.Duty{
		{Name: "entry.accept", Run: func(ctx context.Context) error {
			defer a.stop()
			return server.Run(ctx)
		}},
		{Name: "entry.link", Run: out.run},
	}, nil
}

// newClient returns the HTTP client for WebSocket handshakes, which uses no proxy and no keep-alive connections,
// and the URL scheme.
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

// handleRecord updates the directory before it returns to the publisher, so that every later hello is checked
// against the new member record.
func (s *sender) handleRecord(ctx context.Context, c message.RecordChanged) error {
	switch r := c.Record.(type) {
	case record.Member:
		if c.Deleted {
			s.plugin.updateDirectory(func(d Directory) Directory { return d.WithoutMember(r.Entry) })
			return s.updates.Push(ctx, memberDeleted{entry: r.Entry})
		}
		before := s.plugin.updateDirectory(func(d Directory) Directory { return d.WithMember(r) })
		if m, ok := before.Member(r.Entry); ok && m.Incarnation == r.Incarnation && m.Address == r.Address {
			return nil
		}
		return s.updates.Push(ctx, memberChanged{entry: r.Entry})
	case record.Owner, record.Claim, record.ClaimSegment, record.Instance, record.Ledger, record.ConfigHead, record.Wave:
		return nil
	default:
		panic(fmt.Sprintf("entry: record %T is not handled", r))
	}
}

// updateDirectory applies a change to the directory and returns the previous one.
func (p *plugin) updateDirectory(change func(Directory) Directory) Directory {
	for {
		before := p.directory.Load()
		after := change(*before)
		if p.directory.CompareAndSwap(before, &after) {
			return *before
		}
	}
}

// report passes an event to the routing duty, waiting while its ring is full.
func (p *plugin) report(e message.Event) {
	if err := p.route.PushWait(p.base, e); err != nil && p.base.Err() == nil {
		p.meters.lost.Inc(1)
		p.log.Warn("event for the routing duty was lost", "event", "entry.lost", "error", err)
	}
}

// LinkInfo describes an open link in the state dump.
type LinkInfo struct {
	Entry       string    `json:"entry"`
	Incarnation string    `json:"incarnation"`
	Direction   string    `json:"direction"` // "out" if this entry instance opened the link, else "in"
	Since       time.Time `json:"since"`
}

type dump struct {
	Address string     `json:"address"`
	Links   []LinkInfo `json:"links"`
}

// linkTable holds the open links for the state dump.
type linkTable struct {
	mutex  sync.Mutex
	open   map[string]LinkInfo
	lastID uint64
}

// add registers an open link until the returned function is called.
func (t *linkTable) add(info LinkInfo) (remove func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastID++
	key := fmt.Sprintf("%s %s %d", info.Entry, info.Direction, t.lastID)
	t.open[key] = info
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.open, key)
	}
}

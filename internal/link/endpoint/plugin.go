package endpoint

import (
	"context"
	"net"
	"net/http"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"

	"github.com/rcrowley/go-metrics"
)

func init() {
	kernel.Register(Name, Defaults, build)
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	sender, err := New(h, s)
	if err != nil {
		return nil, err
	}
	updates := ring.New[update]("endpoint.updates", updateCapacity, ring.Block, h.Metrics)
	subscribe(h, updates)
	kernel.Provide[message.Sender](h, sender)
	h.RegisterDump(Name, func() any { return sender.table.usage() })
	return []kernel.Duty{{Name: "endpoint.adjust", Run: func(ctx context.Context) error {
		defer sender.closeIdle()
		return applyUpdates(ctx, updates, sender.table)
	}}}, nil
}

// New returns a sender that registers its metrics with the host.
func New(h *kernel.Host, s Settings) (*Sender, error) {
	reloader, err := listen.NewCertReloader(s.TLS, h.Log)
	if err != nil {
		return nil, err
	}
	sender := &Sender{scheme: "http", table: newConnTable(s.MaxConnAge.Value(), h.Metrics), counters: newCounters(h.Metrics)}
	dial := dialer{
		table:    sender.table,
		reloader: reloader,
		dialer:   net.Dialer{Timeout: s.DialTimeout.Value()},
		dials:    metrics.GetOrRegisterCounter("endpoint.dials", h.Metrics),
		failed:   metrics.GetOrRegisterCounter("endpoint.dials.failed", h.Metrics),
	}
	if reloader != nil {
		sender.scheme = "https"
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	sender.transport = &http.Transport{
		Proxy:                  nil,
		DialContext:            dial.open,
		DialTLSContext:         dial.open,
		DisableCompression:     true,
		MaxIdleConns:           0, // connTable limits them for each executor
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        s.IdleTimeout.Value(),
		MaxResponseHeaderBytes: s.MaxAnswerHeader,
		Protocols:              protocols,
	}
	return sender, nil
}

// maxIdlePerHost is the transport's limit for each host. The limits of connTable are always smaller.
const maxIdlePerHost = 1 << 16

func (s *Sender) closeIdle() {
	if t, ok := s.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// dialer opens the connections of the transport.
type dialer struct {
	table    *connTable
	reloader *listen.CertReloader
	dialer   net.Dialer
	dials    metrics.Counter
	failed   metrics.Counter
}

func (d dialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Inc(1)
	c, err := d.connect(ctx, network, address)
	if err != nil {
		d.failed.Inc(1)
		return nil, err
	}
	return d.table.add(address, c), nil
}

func (d dialer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.dialer.Timeout)
	defer cancel()
	return listen.Dial(ctx, &d.dialer, d.reloader, network, address)
}

package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
)

// Name is the plug-in's name in the settings.
const Name = "peer"

// Settings of the plug-in.
type Settings struct {
	Listen listen.Settings `json:"listen"`
}

// Defaults of the settings.
var Defaults = Settings{Listen: listen.Defaults()}

// Limits of the links between daemons.
const (
	dialTimeout  = 400 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	pingEvery    = 1 * time.Second
	pingTimeout  = 600 * time.Millisecond // a link may go silent without a reset
	maxFrame     = 2 << 20                // bytes; a submission of the largest size fits
	callsAtOnce  = 512                    // calls of one link that are served at the same time
	path         = "/jobs"
)

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host   *kernel.Host
	log    *slog.Logger
	server *listen.Server

	mutex sync.Mutex
	peers map[string]*client // by address
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{host: h, log: h.Log.With("plugin", Name), peers: map[string]*client{}}
	mux := http.NewServeMux()
	mux.Handle("GET "+path, http.HandlerFunc(l.accept))
	var err error
	if l.server, err = listen.Open(s.Listen, mux, l.log); err != nil {
		return nil, err
	}
	kernel.Provide[port.Peers](h, l)
	return []kernel.Duty{{Name: "peer.accept", Run: l.server.Run}}, nil
}

// Remote implements port.Peers.
func (l *link) Remote(o cluster.Owner) port.PoolOwner {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, ok := l.peers[o.Address]
	if !ok {
		c = &client{address: o.Address, log: l.log}
		l.peers[o.Address] = c
	}
	return remote{client: c, pool: o.Duty}
}

// jobs returns the local owner of a pool.
func (l *link) jobs(pool string) (port.PoolOwner, error) {
	owners, ok := kernel.Use[port.Owners](l.host)
	if !ok {
		return nil, port.ErrNotOwner
	}
	j, ok := owners.Local(pool)
	if !ok {
		return nil, port.ErrNotOwner
	}
	return j, nil
}

// serve carries out one call.
func (l *link) serve(ctx context.Context, q request) response {
	r := response{Number: q.Number}
	j, err := l.jobs(q.Pool)
	if err == nil {
		switch q.Call {
		case callSubmit:
			if q.Submission == nil {
				err = port.ErrNotAccepted
			} else {
				err = j.Submit(ctx, *q.Submission)
			}
		case callState:
			r.State, err = j.State(ctx, q.ID)
		case callCancel:
			err = j.Cancel(ctx, q.ID)
		case callPending:
			r.Count, err = j.Pending(ctx, q.Queue)
		case callVacate:
			r.Empty, err = j.Vacate(ctx, q.Executors, q.Length)
		case callLoad:
			var load port.Load
			load, err = j.Load(ctx)
			r.Load = &load
		default:
			err = port.ErrNotOwner // of a newer version: it is asked elsewhere
		}
	}
	r.Code = codeOf(err)
	return r
}

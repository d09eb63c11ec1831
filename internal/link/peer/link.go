package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"
)

// Name is the plug-in's name in the settings.
const Name = "peer"

// Settings of the plug-in.
type Settings struct {
	Listen listen.Settings `json:"listen"`
}

// Defaults of the settings.
var Defaults = Settings{Listen: listen.Defaults()}

// Timeouts and limits of the connections between daemons.
const (
	dialTimeout        = 400 * time.Millisecond
	writeTimeout       = 500 * time.Millisecond
	pingInterval       = 1 * time.Second
	pingTimeout        = 600 * time.Millisecond // detects a connection that died without a reset
	quietTime          = 100 * time.Millisecond // without an answer after which the next call first sends a ping
	answerTimeout      = 400 * time.Millisecond // for the answer to that ping; as long as a dial
	maxFrameSize       = 2 << 20                // bytes; a submission of the maximum size fits
	maxConcurrentCalls = 512                    // per connection; both sides keep to it
	path               = "/jobs"

	// maxCallTimeout is the longest timeout of the calls between daemons, those of submissions and of offered duties. A peer
	// that asks for more would occupy one of the concurrent calls for that time.
	maxCallTimeout = 700 * time.Millisecond
	// answerMargin is how much earlier than its caller a peer gives a call up, so that its answer, which may be that the call
	// was not begun, still arrives. Daemons are some milliseconds apart.
	answerMargin   = 50 * time.Millisecond
	answerFraction = 4 // the margin is at most this part of the time for which the caller waits
)

// peerTimeout returns the time after which a peer gives up a call whose caller waits for a given time.
func peerTimeout(left time.Duration) time.Duration {
	return left - min(answerMargin, left/answerFraction)
}

func init() {
	kernel.Register(Name, Defaults, build)
}

type link struct {
	host   *kernel.Host
	log    *slog.Logger
	server *listen.Server
	mux    *http.ServeMux

	mutex   sync.Mutex
	clients map[string]*client // by address
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	l := &link{host: h, log: h.Log.With("plugin", Name), clients: map[string]*client{}}
	mux := http.NewServeMux()
	mux.Handle("GET "+path, http.HandlerFunc(l.accept))
	l.mux = mux
	var err error
	if l.server, err = listen.OpenPeers(h, s.Listen, mux, l.log); err != nil {
		return nil, err
	}
	kernel.Provide[port.Peers](h, l)
	kernel.Provide[port.OwnerPeers](h, l)
	kernel.Provide[port.PeerHandlers](h, l)
	kernel.Provide[port.ConfigPeers](h, l)
	return []kernel.Duty{{Name: "peer.accept", Run: l.server.Run}}, nil
}

// HandlePeer implements port.PeerHandlers.
func (l *link) HandlePeer(pattern string, h http.Handler) { l.mux.Handle(pattern, h) }

// Remote implements port.Peers.
func (l *link) Remote(o cluster.Owner) port.PoolOwner {
	return remoteOwner{client: l.client(o.Address), pool: o.Duty}
}

// Offer implements port.Peers.
func (l *link) Offer(ctx context.Context, to cluster.Member, duty string, epoch uint64) (cluster.Owner, error) {
	resp, err := l.client(to.Address).call(ctx, request{Call: callTakeOver, Pool: duty, Epoch: epoch})
	if err == nil && resp.Owner == nil {
		err = port.ErrUnavailable
	}
	if err == nil {
		err = resp.Owner.Validate(duty)
	}
	if err != nil {
		return cluster.Owner{}, err
	}
	return *resp.Owner, nil
}

// client returns the client of the daemon at an address.
func (l *link) client(address string) *client {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, ok := l.clients[address]
	if !ok {
		c = &client{address: address, log: l.log}
		l.clients[address] = c
	}
	return c
}

// takeOver takes a duty over for the owner that has sent the request.
func (l *link) takeOver(ctx context.Context, req request) (cluster.Owner, error) {
	successor, ok := kernel.Use[port.Successor](l.host)
	if !ok {
		return cluster.Owner{}, port.ErrUnavailable
	}
	return successor.TakeOver(ctx, req.Pool, req.Epoch)
}

// localOwner returns the owner of a pool in this process, or ErrNotOwner.
func (l *link) localOwner(pool string) (port.PoolOwner, error) {
	owners, ok := kernel.Use[port.Owners](l.host)
	if !ok {
		return nil, port.ErrNotOwner
	}
	o, ok := owners.Local(pool)
	if !ok {
		return nil, port.ErrNotOwner
	}
	return o, nil
}

// serve performs a call on the local owner. A call that panics is answered with an unknown outcome.
func (l *link) serve(ctx context.Context, req request) response {
	var resp response
	if err := guard.Call(func() { resp = l.perform(ctx, req) }); err != nil {
		l.log.Error("call failed", "event", "peer.rejected", "pool", req.Pool, "call", int(req.Call), "error", err)
		return response{Number: req.Number, Code: errorCode(port.ErrUnknownOutcome)}
	}
	return resp
}

// maxVacate bounds how long one call may keep executors empty, in case the sender's request is damaged.
const maxVacate = 10 * time.Second

func (l *link) perform(ctx context.Context, req request) response {
	switch req.Call {
	case callConfig:
		return l.configResponse(req)
	case callOwners:
		return l.ownersResponse(req)
	default:
	}
	resp := response{Number: req.Number}
	if req.Call == callTakeOver {
		owner, err := l.takeOver(ctx, req)
		resp.Owner, resp.Code = &owner, errorCode(err)
		return resp
	}
	o, err := l.localOwner(req.Pool)
	if err == nil {
		switch req.Call {
		case callSubmit:
			if req.Submission == nil || req.Submission.Validate() != nil {
				err = port.ErrNotAccepted
			} else {
				err = o.Submit(ctx, *req.Submission, req.Version)
			}
		case callRelinquish:
			if req.Submission == nil || req.Submission.Validate() != nil {
				err = port.ErrUnknownOutcome
			} else {
				err = o.Relinquish(ctx, *req.Submission, req.Version)
			}
		case callState:
			resp.State, err = o.State(ctx, req.ID, req.Account)
		case callCancel:
			err = o.Cancel(ctx, req.ID, req.Account)
		case callPending:
			resp.Count, err = o.Pending(ctx, req.Queue)
		case callVacate:
			resp.Empty, err = o.Vacate(ctx, req.Executors, min(req.Duration, maxVacate))
		case callLoad:
			var load port.Load
			load, err = o.Load(ctx)
			resp.Load = &load
		case callQuota:
			var report quota.Report
			report, err = o.Quota(ctx, req.Limits)
			resp.Quota = &report
		default:
			err = port.ErrNotOwner // a call of a newer version; the caller retries elsewhere
		}
	}
	resp.Code = errorCode(err)
	return resp
}

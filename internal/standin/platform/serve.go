package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/protocol/instances"
	"teaselloft/internal/standin/keyvalue"
)

// maxBody leaves room for a value of 1 MB in base64 with its key.
const maxBody = 2 << 20

// server decodes HTTP requests into calls of the store duty and encodes the answers.
type server struct {
	listener *countingListener
	calls    *ring.Ring[call]
	progress time.Duration
	nonce    string // tells the list versions of this process from those of another
	log      *slog.Logger
	watches  atomic.Uint64
}

// handler returns the routes; calls that change the store end with ctx, not with their request.
func (s *server) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcd.PathRange, serveCall(ctx, s, KindRange, decodeRange))
	mux.HandleFunc("POST "+etcd.PathTxn, serveCall(ctx, s, KindTxn, decodeTxn))
	mux.HandleFunc("POST "+etcd.PathGrant, serveCall(ctx, s, KindGrant, decodeGrant))
	mux.HandleFunc("POST "+etcd.PathKeepAlive, serveCall(ctx, s, KindKeepAlive, decodeKeepAlive))
	mux.HandleFunc("POST "+etcd.PathRevoke, serveCall(ctx, s, KindRevoke, decodeRevoke))
	mux.HandleFunc("POST "+etcd.PathWatch, func(w http.ResponseWriter, r *http.Request) { s.serveWatch(ctx, w, r) })
	mux.HandleFunc("GET "+instances.Path, s.serveList)
	mux.HandleFunc("POST "+instances.Path, s.serveHeartbeat)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("GET /counters", s.serveCounters)
	return mux
}

// serveCall answers one kind of call.
func serveCall[Q any](ctx context.Context, s *server, k Kind, decode func(Q) (keyvalue.Message, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		serve, ok := s.admit(w, r, k)
		if !ok {
			return
		}
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
			fail(w, decodeFailure(err))
			return
		}
		if !delay(ctx, serve.Delay) { // not ended by the caller's leaving: a late write still takes effect
			panic(http.ErrAbortHandler)
		}
		m, err := decode(request)
		if err != nil {
			fail(w, etcd.ErrorResponse{Code: etcd.CodeInvalidArgument, Message: err.Error()})
			return
		}
		effect, err := ask(ctx, s, func(reply *ring.Ring[keyvalue.Effect]) call {
			return apply{message: m, reply: reply}
		})
		if err != nil || serve.Lose {
			panic(http.ErrAbortHandler)
		}
		encode(w, k, effect)
	}
}

// delay waits for d and returns false when ctx ends before.
func delay(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask pushes a call and waits for its answer.
func ask[T any](ctx context.Context, s *server, c func(reply *ring.Ring[T]) call) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, readHeaderTimeout)
	defer cancel()
	reply := ring.NewReply[T]()
	if err := s.calls.Push(ctx, c(reply)); err != nil {
		var zero T
		return zero, err
	}
	return reply.Pull(ctx)
}

// admit lets a call through or answers it; during an outage it closes the connection.
func (s *server) admit(w http.ResponseWriter, r *http.Request, k Kind) (Serve, bool) {
	verdict, err := ask(r.Context(), s, func(reply *ring.Ring[Verdict]) call {
		return admit{kind: k, reply: reply}
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch v := verdict.(type) {
	case Serve:
		return v, true
	case Limit:
		fail(w, etcd.ErrorResponse{Code: etcd.CodeResourceExhausted, Message: "too many requests"})
		return Serve{}, false
	case Drop:
		panic(http.ErrAbortHandler)
	default:
		panic(fmt.Sprintf("platform stand-in: unknown verdict %T", v))
	}
}

func decodeFailure(err error) etcd.ErrorResponse {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return etcd.ErrorResponse{Code: etcd.CodeInvalidArgument, Message: string(keyvalue.ReasonTooLarge)}
	}
	return etcd.ErrorResponse{Code: etcd.CodeInvalidArgument, Message: err.Error()}
}

// fail answers with the status that the gateway gives a code.
func fail(w http.ResponseWriter, f etcd.ErrorResponse) {
	status := http.StatusBadRequest
	switch f.Code {
	case etcd.CodeResourceExhausted:
		status = http.StatusTooManyRequests
	case etcd.CodeNotFound:
		status = http.StatusNotFound
	}
	write(w, status, f)
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller sees a truncated answer if this fails.
	_ = json.NewEncoder(w).Encode(body)
}

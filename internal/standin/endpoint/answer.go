package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"teaselloft/internal/core/ring"
	"teaselloft/internal/standin/executor"
)

// Request headers.
const (
	// HeaderRun sets the run time of one request, such as "20ms".
	HeaderRun = "Standin-Run"
	headerKey = "Idempotency-Key"
)

const maxBody = 2 << 20

// Answer is the body of an answer; it echoes the request so that a caller can match the two.
type Answer struct {
	Service  string `json:"service"`
	Executor string `json:"executor"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Hash     string `json:"hash"` // hex-encoded SHA-256 of the request body
	Key      string `json:"key"`  // Idempotency-Key
}

// answer executes one request; it continues when the caller disconnects.
func (x *runner) answer(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler) // an incomplete request is not executed
	}
	arrive := executor.RequestArrived{ID: x.ids.Add(1), Key: r.Header.Get(headerKey)}
	if text := r.Header.Get(HeaderRun); text != "" {
		if arrive.Run, err = time.ParseDuration(text); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		arrive.HasRun = true
	}
	hash := sha256.Sum256(body)
	x.writeAnswer(w, x.execute(ctx, arrive), Answer{
		Service:  x.service,
		Executor: x.config.ID,
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Hash:     hex.EncodeToString(hash[:]),
		Key:      arrive.Key,
	})
}

// execute runs a request for its run time and returns the form of its answer.
func (x *runner) execute(ctx context.Context, arrive executor.RequestArrived) executor.Shape {
	for m := executor.Message(arrive); ; m = (executor.RunFinished{ID: arrive.ID}) {
		e, err := x.applyTo(ctx, arrive.ID, m)
		if err != nil {
			return executor.Nothing
		}
		switch e := e.(type) {
		case executor.Start:
			if !pause(ctx, e.Run) {
				return executor.Nothing
			}
		case executor.Reply:
			return e.Shape
		case executor.Reject, executor.Listen, executor.Refuse:
			panic(fmt.Sprintf("endpoint stand-in: effect %T answers no request", e))
		default:
			panic(fmt.Sprintf("endpoint stand-in: unknown effect %T", e))
		}
	}
}

// applyTo applies a message to one request on the executor's duty; it fails when the process stops.
func (x *runner) applyTo(ctx context.Context, id uint64, m executor.Message) (executor.Effect, error) {
	return ask(ctx, x, func(reply *ring.Ring[executor.Effect]) call {
		return applyRequest{id: id, message: m, reply: reply}
	})
}

// pause waits for d; it returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeAnswer writes the answer in the given form.
func (x *runner) writeAnswer(w http.ResponseWriter, s executor.Shape, a Answer) {
	body, err := json.Marshal(a)
	if err != nil {
		panic(fmt.Sprintf("endpoint stand-in: encode answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch s {
	case executor.Whole:
		_, _ = w.Write(body) // the caller may have disconnected
	case executor.Failure:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(body)
	case executor.Half:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case executor.Nothing:
		panic(http.ErrAbortHandler)
	default:
		panic(fmt.Sprintf("endpoint stand-in: unknown shape %d", s))
	}
}

package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"teaselloft/internal/core/kernel"
	_ "teaselloft/internal/link/caller" // measured
	"teaselloft/internal/link/endpoint"
	"teaselloft/internal/model/message"
)

// grantor is the plug-in that grants every request the one endpoint at once, in place of the routing duty.
const grantor = "bench.grantor"

// headerTimeout bounds the endpoint's wait for a header.
const headerTimeout = 5 * time.Second

// grantorSettings name the endpoint.
type grantorSettings struct {
	Address string `json:"address"`
}

func init() {
	kernel.Register(grantor, grantorSettings{}, func(h *kernel.Host, s grantorSettings) ([]kernel.Duty, error) {
		events := kernel.Open(h, message.RoutePort)
		send := message.Send{Executor: message.Executor{ID: "bench", Address: s.Address}, Service: "bench"}
		return []kernel.Duty{{Name: grantor, Run: func(ctx context.Context) error {
			for {
				e, err := events.Pull(ctx)
				if err != nil {
					return err
				}
				if a, ok := e.(message.RequestArrived); ok {
					if err := a.Reply.Push(ctx, send); err != nil {
						return err
					}
				}
			}
		}}}, nil
	})
}

// system is an endpoint and an entry instance in front of it.
type system struct {
	direct string // URL of the endpoint
	linked string // URL of the entry instance
	stop   func() error
}

// start runs the endpoint and the entry instance on loopback.
func start(ctx context.Context) (*system, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the endpoint: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	k, err := kernel.New(kernel.Settings{Name: "bench", Plugins: map[string]json.RawMessage{
		grantor:       json.RawMessage(fmt.Sprintf(`{"address":%q}`, address)),
		endpoint.Name: json.RawMessage(`{}`),
		"caller":      json.RawMessage(`{"listen":{"address":"127.0.0.1:0"},"grace":"0s"}`),
	}}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, errors.Join(err, server.Close())
	}
	data, err := json.Marshal(k.Host().DumpState()["caller"])
	if err != nil {
		return nil, errors.Join(err, server.Close())
	}
	var section struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(data, &section); err != nil {
		return nil, errors.Join(err, server.Close())
	}
	running, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- k.Run(running) }()
	return &system{
		direct: "http://" + address + "/bench/x",
		linked: "http://" + section.Address + "/bench/x",
		stop: func() error {
			cancel()
			return errors.Join(<-done, server.Close())
		},
	}, nil
}

// answer is the endpoint: it answers at once, so that only the links are measured.
func answer(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("answer of a service\n"))
}

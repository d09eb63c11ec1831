package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"teaselloft/internal/core/command"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:  "site",
			Usage: "stand in for the users' platform on loopback and write the settings files of daemons",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "dir", Usage: "folder for the settings files", Required: true},
				&cli.IntFlag{Name: "daemons", Usage: "settings files to write", Value: 3},
				&cli.IntFlag{Name: "instances", Usage: "instances in the pool", Value: 6},
				&cli.IntFlag{Name: "standby", Usage: "instances on standby", Value: 2},
				&cli.IntFlag{Name: "port", Usage: "first of the ports that are used", Value: 9000},
			},
			Action: serve,
		}
	})
}

// Offsets of the listeners from the first port.
const (
	offsetStore  = 0
	offsetCloud  = 1
	offsetFront  = 10
	offsetReady  = 30
	offsetDaemon = 50
	offsetMetric = 70
)

func serve(ctx context.Context, c *cli.Command) error {
	port := c.Int("port")
	s, err := New(c.Int("instances"), c.Int("standby"))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the process is exiting
	for n := range c.Int("daemons") {
		path := filepath.Join(c.String("dir"), fmt.Sprintf("daemon-%d.json", n+1))
		if err := os.WriteFile(path, daemonSettings(port, n), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	var group run.Group
	for offset, handler := range map[int]http.Handler{offsetStore: s.Store.Handler(), offsetCloud: s.Instances()} {
		server := &http.Server{Addr: local(port + offset), Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		group.Add(server.ListenAndServe, func(error) { _ = server.Close() }) // the process is exiting
	}
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error { <-stop.Done(); return nil }, func(error) { cancel() })
	return group.Run()
}

func local(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// DaemonSettings are the values in the settings file of a daemon. A limit of 0 means that the file sets none.
type DaemonSettings struct {
	Name, Front, Ready, Metrics string // addresses of its listeners on loopback
	Port                        int    // for other daemons
	Store, Cloud                string // addresses of the stand-ins
	Memory, Descriptors         int    // limits, in MB and file descriptors
}

// File returns the settings file.
func (d DaemonSettings) File() []byte {
	const maxLeaseMS = 6000
	data, err := json.MarshalIndent(map[string]any{
		"node-name": d.Name, "ip": "127.0.0.1", "zone": "z", "region": "local",
		"bind-addresses": map[string]string{"frontend": d.Front, "ready": d.Ready},
		"metrics":        d.Metrics,
		"port-range":     []int{d.Port, d.Port},
		"limits":         map[string]int{"memory-mb": d.Memory, "max-fds": d.Descriptors},
		"bounds":         map[string]int{"hold-max-ms": maxLeaseMS},
		"platform":       map[string]string{"address": d.Store},
		"cloud":          map[string]string{"address": d.Cloud},
	}, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("encode settings: %v", err)) // maps of plain values always encode
	}
	return data
}

// daemonSettings returns the settings file of the n-th daemon, counted from 0.
func daemonSettings(port, n int) []byte {
	return DaemonSettings{
		Name: fmt.Sprintf("daemon-%d", n+1), Port: port + offsetDaemon + n,
		Front: local(port + offsetFront + n), Ready: local(port + offsetReady + n), Metrics: local(port + offsetMetric + n),
		Store: local(port + offsetStore), Cloud: local(port + offsetCloud),
	}.File()
}

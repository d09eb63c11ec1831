package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"teaselloft/internal/core/kernel"
	standin "teaselloft/internal/standin/platform"

	_ "teaselloft/internal/link/platform"
)

// errNotSettled is returned when not every entry instance registered.
var errNotSettled = errors.New("entry instances did not register")

const (
	siteName        = "bench"
	registerTimeout = 30 * time.Second
	registerPause   = 20 * time.Millisecond
	requestTimeout  = 5 * time.Second
)

// site is a platform stand-in with entry instances, all in this process.
type site struct {
	address string // of the platform
	hosts   []*kernel.Host
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newSite starts entry instances with further plug-ins and waits until they are registered; close it even after an error.
func newSite(ctx context.Context, entries int, plugins string) (*site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &site{cancel: cancel}
	host, err := s.launch(ctx, "standin", `{"platform-standin":{}}`)
	if err != nil {
		return s, err
	}
	address, _ := kernel.Use[standin.Address](host)
	s.address = address.Address()
	for i := range entries {
		section := fmt.Sprintf(`{%s"platform":{"addresses":[%q]}}`, plugins, s.address)
		host, err := s.launch(ctx, fmt.Sprintf("entry-%d", i), section)
		if err != nil {
			return s, err
		}
		s.hosts = append(s.hosts, host)
	}
	return s, s.settle(ctx)
}

// close stops every process of the site.
func (s *site) close() {
	s.cancel()
	s.running.Wait()
}

// launch runs a process's kernel on a goroutine until ctx ends.
func (s *site) launch(ctx context.Context, name, plugins string) (*kernel.Host, error) {
	text := fmt.Appendf(nil, `{"name":%q,"zone":"z","site":%q,"plugins":%s}`, name, siteName, plugins)
	settings, err := kernel.ParseSettings(text)
	if err != nil {
		return nil, err
	}
	k, err := kernel.New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	s.running.Go(func() { _ = k.Run(ctx) })
	return k.Host(), nil
}

// settle waits until every entry instance has its member key and its watch.
func (s *site) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for {
		c, err := s.counters(ctx)
		if err != nil {
			return err
		}
		if c.Keys == len(s.hosts) && c.Watching == len(s.hosts) {
			return nil
		}
		if err := wait(ctx, registerPause); err != nil {
			return fmt.Errorf("%w: %d of %d", errNotSettled, c.Keys, len(s.hosts))
		}
	}
}

// counters reads what the platform counted.
func (s *site) counters(ctx context.Context) (standin.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var c standin.Counters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.address+"/counters", http.NoBody)
	if err != nil {
		return c, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c, err
	}
	defer func() { _ = response.Body.Close() }()
	return c, json.NewDecoder(response.Body).Decode(&c)
}

// calls returns the number of all calls.
func calls(c standin.Counters) float64 {
	var sum int64
	for _, n := range c.Calls {
		sum += n
	}
	return float64(sum)
}

// traffic returns the bytes in both directions.
func traffic(c standin.Counters) float64 {
	return float64(c.Received + c.Sent)
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

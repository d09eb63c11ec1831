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
	registerTimeout = 30 * time.Second
	registerPause   = 20 * time.Millisecond
	requestTimeout  = 5 * time.Second
)

// Load is what a number of entry instances at rest cost the platform.
type Load struct {
	Entries  int
	Calls    float64 // a second, keep-alives and reads of the instance list
	Bytes    float64 // a second in both directions, with HTTP headers
	Watching int
}

// Rest runs entry instances against a stand-in of the platform and measures their load over a window.
func Rest(ctx context.Context, entries int, window time.Duration) (Load, error) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	host, err := launch(ctx, &group, "standin", `{"platform-standin":{}}`)
	if err != nil {
		return Load{}, err
	}
	address, _ := kernel.Use[standin.Address](host)
	for i := range entries {
		plugins := fmt.Sprintf(`{"platform":{"addresses":[%q]}}`, address.Address())
		if _, err := launch(ctx, &group, fmt.Sprintf("entry-%d", i), plugins); err != nil {
			return Load{}, err
		}
	}
	if err := settle(ctx, address.Address(), entries); err != nil {
		return Load{}, err
	}
	return measure(ctx, address.Address(), entries, window)
}

// launch runs a process's kernel on a goroutine until ctx ends.
func launch(ctx context.Context, group *sync.WaitGroup, name, plugins string) (*kernel.Host, error) {
	s, err := kernel.ParseSettings(fmt.Appendf(nil, `{"name":%q,"zone":"z","site":"bench","plugins":%s}`, name, plugins))
	if err != nil {
		return nil, err
	}
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	group.Go(func() { _ = k.Run(ctx) })
	return k.Host(), nil
}

// settle waits until every entry instance has its member key and its watch.
func settle(ctx context.Context, address string, entries int) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for {
		c, err := read(ctx, address)
		if err != nil {
			return err
		}
		if c.Keys == entries && c.Watching == entries {
			return nil
		}
		if err := wait(ctx, registerPause); err != nil {
			return fmt.Errorf("%w: %d of %d", errNotSettled, c.Keys, entries)
		}
	}
}

func measure(ctx context.Context, address string, entries int, window time.Duration) (Load, error) {
	before, err := read(ctx, address)
	if err != nil {
		return Load{}, err
	}
	begin := time.Now()
	if err := wait(ctx, window); err != nil {
		return Load{}, err
	}
	seconds := time.Since(begin).Seconds()
	after, err := read(ctx, address)
	if err != nil {
		return Load{}, err
	}
	return Load{
		Entries:  entries,
		Calls:    float64(total(after)-total(before)) / seconds,
		Bytes:    float64(after.Received+after.Sent-before.Received-before.Sent) / seconds,
		Watching: after.Watching,
	}, nil
}

func total(c standin.Counters) int64 {
	var sum int64
	for _, n := range c.Calls {
		sum += n
	}
	return sum
}

func read(ctx context.Context, address string) (standin.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var c standin.Counters
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/counters", http.NoBody)
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

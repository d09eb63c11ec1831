package platform

import (
	"context"
	"time"
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
	s, err := newSite(ctx, entries, "")
	defer s.close()
	if err != nil {
		return Load{}, err
	}
	return s.measure(ctx, entries, window)
}

func (s *site) measure(ctx context.Context, entries int, window time.Duration) (Load, error) {
	before, err := s.counters(ctx)
	if err != nil {
		return Load{}, err
	}
	begin := time.Now()
	if err := wait(ctx, window); err != nil {
		return Load{}, err
	}
	seconds := time.Since(begin).Seconds()
	after, err := s.counters(ctx)
	if err != nil {
		return Load{}, err
	}
	return Load{
		Entries:  entries,
		Calls:    (calls(after) - calls(before)) / seconds,
		Bytes:    (traffic(after) - traffic(before)) / seconds,
		Watching: after.Watching,
	}, nil
}

package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	rounds  = 5  // direct and linked in turn, so that other load on the machine hits both
	senders = 32 // of the throughput measurement
)

// Result holds the medians of all rounds.
type Result struct {
	Latency    time.Duration // median of one request at a time
	Throughput float64       // requests per second of all senders
}

// Measure returns the results of a direct connection and of the links; each of the measurements takes the given time.
func Measure(ctx context.Context, window time.Duration) (direct, linked Result, err error) {
	s, err := start(ctx)
	if err != nil {
		return direct, linked, err
	}
	defer func() { err = errors.Join(err, s.stop()) }()
	var d, l []Result
	for range rounds {
		a, err := measure(ctx, s.direct, window)
		if err != nil {
			return direct, linked, err
		}
		b, err := measure(ctx, s.linked, window)
		if err != nil {
			return direct, linked, err
		}
		d, l = append(d, a), append(l, b)
	}
	return middle(d), middle(l), nil
}

func middle(all []Result) Result {
	latencies, throughputs := make([]time.Duration, 0, len(all)), make([]float64, 0, len(all))
	for _, r := range all {
		latencies, throughputs = append(latencies, r.Latency), append(throughputs, r.Throughput)
	}
	slices.Sort(latencies)
	slices.Sort(throughputs)
	return Result{Latency: latencies[len(all)/2], Throughput: throughputs[len(all)/2]}
}

func measure(ctx context.Context, url string, window time.Duration) (Result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}}
	defer client.CloseIdleConnections()
	var times []time.Duration
	for end := time.Now().Add(window); time.Now().Before(end); {
		started := time.Now()
		if err := request(ctx, client, url); err != nil {
			return Result{}, err
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	var group sync.WaitGroup
	var count atomic.Int64
	faults := make(chan error, senders)
	started := time.Now()
	for range senders {
		group.Go(func() {
			for time.Since(started) < window {
				if err := request(ctx, client, url); err != nil {
					faults <- err
					return
				}
				count.Add(1)
			}
		})
	}
	group.Wait()
	close(faults)
	return Result{Latency: times[len(times)/2], Throughput: float64(count.Load()) / time.Since(started).Seconds()}, <-faults
}

func request(ctx context.Context, client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return nil
}

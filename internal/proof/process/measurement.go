package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselloft/internal/standin/endpoint"
)

// Measurement holds the latency and throughput of one path to an executor.
type Measurement struct {
	Median time.Duration // latency of requests sent one at a time
	Rate   float64       // requests per second of concurrent senders
}

// senders is the number of concurrent senders in a throughput measurement.
const senders = 16

// Measure sends requests with a run time of zero to a URL, first one at a time, then from concurrent senders. It returns
// the first error of a request.
func Measure(ctx context.Context, address string, requests int) (Measurement, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	times := make([]time.Duration, 0, requests)
	for range requests {
		start := time.Now()
		if err := sendRequest(ctx, client, address); err != nil {
			return Measurement{}, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	start := time.Now()
	errs := make([]error, senders)
	var group sync.WaitGroup
	for i := range senders {
		group.Go(func() {
			for range requests / senders {
				if err := sendRequest(ctx, client, address); err != nil {
					errs[i] = err
					return
				}
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return Measurement{}, err
		}
	}
	return Measurement{Median: times[len(times)/2], Rate: float64(requests) / time.Since(start).Seconds()}, nil
}

func sendRequest(ctx context.Context, client *http.Client, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	r.Header.Set(endpoint.HeaderRun, "0s")
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, response.StatusCode)
	}
	return nil
}

// ExecutorAddress returns the base URL of the first executor of a service.
func (s *System) ExecutorAddress(service int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", s.port+portBlockSize+service*s.options.Executors)
}

package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Step is a job step as a client submits it.
type Step struct {
	Count   int   `json:"count"`
	CPU     int   `json:"cpu"` // millicores
	Memory  int   `json:"mem-mb"`
	After   []int `json:"after,omitempty"`
	Lasting bool  `json:"long-running,omitempty"`
}

// Job is a job as a client submits it; Spec is the duration of its tasks.
type Job struct {
	ID    string
	Pool  string
	Spec  string
	Steps []Step
	// Schedule of a job that runs several times; Repeat is 0 for one that runs once.
	Repeat   int
	Start    time.Time
	Interval time.Duration // in whole milliseconds
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns the time before which an occurrence must not run; zero for a job without a schedule.
func (j Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// Caller is an HTTP client that calls the daemons as the users' clients do. It reuses its connections until Close.
type Caller struct {
	client *http.Client
	key    string // API key that requests carry; empty for none
}

// NewCaller returns a caller whose requests time out after timeout.
func NewCaller(timeout time.Duration) *Caller {
	return &Caller{client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// WithKey returns a caller that uses the same connections and sends an API key.
func (c *Caller) WithKey(key string) *Caller { return &Caller{client: c.client, key: key} }

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Submit submits a job and returns the HTTP status.
func (c *Caller) Submit(ctx context.Context, address string, j Job) (int, error) {
	fields := map[string]any{"spec": j.Spec, "pipeline-steps": j.Steps}
	if j.Repeat > 0 {
		fields["repeat-count"], fields["start-at-ms"], fields["interval-ms"] = j.Repeat, j.Start.UnixMilli(), j.Interval.Milliseconds()
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return 0, fmt.Errorf("encode job: %w", err)
	}
	status, _, err := c.call(ctx, http.MethodPost, address, Route(j.Pool)+j.ID, body)
	return status, err
}

// State returns the HTTP status and the state of a job; the state is empty unless the status is 200.
func (c *Caller) State(ctx context.Context, address string, j Job) (status int, state string, err error) {
	status, data, err := c.call(ctx, http.MethodGet, address, Route(j.Pool)+j.ID, nil)
	if err != nil || status != http.StatusOK {
		return status, "", err
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return status, "", fmt.Errorf("decode state: %w", err)
	}
	return status, answer.State, nil
}

// Cancel cancels a job and returns the HTTP status.
func (c *Caller) Cancel(ctx context.Context, address string, j Job) (int, error) {
	status, _, err := c.call(ctx, http.MethodDelete, address, Route(j.Pool)+j.ID, nil)
	return status, err
}

// Pending requests the number of queued jobs that have not started and returns the HTTP status; prefix selects the queue.
func (c *Caller) Pending(ctx context.Context, address, prefix string) (int, error) {
	status, _, err := c.call(ctx, http.MethodGet, address, prefix, nil)
	return status, err
}

func (c *Caller) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	r.Host = Host
	if c.key != "" {
		r.Header.Set("X-Teaselloft-Key", c.key)
	}
	r.GetBody = nil // prevents net/http from retrying a request
	response, err := c.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

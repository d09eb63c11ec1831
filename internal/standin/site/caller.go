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

// Step is a step of a job as a caller hands it in.
type Step struct {
	Count   int   `json:"count"`
	CPU     int   `json:"cpu"` // thousandths of a core
	Memory  int   `json:"mem-mb"`
	After   []int `json:"after,omitempty"`
	Lasting bool  `json:"long-running,omitempty"`
}

// Job is a job as a caller hands it in; Spec is the duration of its tasks.
type Job struct {
	ID    string
	Pool  string
	Spec  string
	Steps []Step
}

// Caller speaks to the daemons as the users' clients do. It keeps its connections until they are closed.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that waits so long for an answer.
func NewCaller(timeout time.Duration) *Caller {
	return &Caller{client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Close closes the open connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Submit hands a job in and returns the status.
func (c *Caller) Submit(ctx context.Context, address string, j Job) (int, error) {
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "pipeline-steps": j.Steps})
	if err != nil {
		return 0, fmt.Errorf("encode job: %w", err)
	}
	status, _, err := c.call(ctx, http.MethodPost, address, Route(j.Pool)+j.ID, body)
	return status, err
}

// State asks for the state of a job, which is empty unless the status is 200.
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

// Cancel cancels a job and returns the status.
func (c *Caller) Cancel(ctx context.Context, address string, j Job) (int, error) {
	status, _, err := c.call(ctx, http.MethodDelete, address, Route(j.Pool)+j.ID, nil)
	return status, err
}

// Pending asks how many jobs of a queue have not begun; the queue is named by its prefix.
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
	r.GetBody = nil // keeps net/http from sending a request twice by itself
	response, err := c.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

package instances

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/model/message"

	"github.com/dghubble/sling"
)

// Path is the URL path of the instance list.
const Path = "/v1/instances"

// Limits of a call.
const (
	DefaultTimeout = 2 * time.Second
	maxListSize    = 4 << 20 // bytes
)

// ErrUnavailable is wrapped by every error of a Client.
var ErrUnavailable = errors.New("instance list is unavailable")

// Heartbeat registers instances or renews their registration; an instance whose registration expires leaves the list.
type Heartbeat struct {
	TTL       int               `json:"ttl"` // milliseconds until the registration expires
	Instances []message.Listing `json:"instances"`
}

// Client calls the instance list at one of several addresses; after a call without a response it uses the next address.
//
// It is not safe for concurrent use.
type Client struct {
	addresses []string
	current   int // index of the address in use
	http      *http.Client
}

// New returns a client for base addresses such as "http://127.0.0.1:2379".
func New(addresses []string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, fmt.Errorf("%w: no address", ErrUnavailable)
	}
	return &Client{
		addresses: addresses,
		http:      &http.Client{Timeout: DefaultTimeout, Transport: &http.Transport{DisableCompression: true}},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List returns the list and its entity tag; changed is false when the list still has the entity tag etag.
func (c *Client) List(ctx context.Context, etag string) (list []message.Listing, newETag string, changed bool, err error) {
	request, err := c.sling().Get(Path).Set("If-None-Match", etag).Request()
	if err != nil {
		return nil, "", false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.do(ctx, request)
	if err != nil {
		return nil, "", false, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return nil, etag, false, nil
	case http.StatusOK:
		body := http.MaxBytesReader(nil, response.Body, maxListSize)
		if err := json.NewDecoder(body).Decode(&list); err != nil {
			return nil, "", false, fmt.Errorf("%w: decode list: %w", ErrUnavailable, err)
		}
		return list, response.Header.Get("ETag"), true, nil
	default:
		return nil, "", false, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
}

// SendHeartbeat registers instances or renews their registration.
func (c *Client) SendHeartbeat(ctx context.Context, h Heartbeat) error {
	request, err := c.sling().Post(Path).BodyJSON(h).Request()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	response, err := c.do(ctx, request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	return nil
}

func (c *Client) sling() *sling.Sling {
	return sling.New().Base(c.addresses[c.current]).Set("User-Agent", "")
}

func (c *Client) do(ctx context.Context, request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		c.current = (c.current + 1) % len(c.addresses)
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return response, nil
}

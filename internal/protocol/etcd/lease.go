package etcd

import (
	"context"
	"fmt"
	"time"
)

// Grant creates a lease and returns its ID and time to live; ttl is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response LeaseResponse
	if err := c.call(ctx, PathGrant, true, GrantRequest{TTL: seconds}, &response); err != nil {
		return 0, 0, fmt.Errorf("grant lease: %w", err)
	}
	return response.ID, time.Duration(response.TTL) * time.Second, nil
}

// KeepAlive renews a lease and returns its time to live; its error wraps ErrLeaseNotFound when the lease does not exist.
func (c *Client) KeepAlive(ctx context.Context, id int64) (time.Duration, error) {
	var response KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, true, LeaseRequest{ID: id}, &response); err != nil {
		return 0, fmt.Errorf("keep lease alive: %w", err)
	}
	if response.Result.TTL <= 0 {
		return 0, fmt.Errorf("keep lease alive: %w", ErrLeaseNotFound)
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke revokes a lease, which deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	var response RevokeResponse
	if err := c.call(ctx, PathRevoke, true, LeaseRequest{ID: id}, &response); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

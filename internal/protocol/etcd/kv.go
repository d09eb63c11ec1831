package etcd

import (
	"context"
	"fmt"
)

// pageSize limits the keys of a page, so that a page of small values transfers in well under a second.
const pageSize = 500

// PrefixEnd returns the exclusive end of the range of all keys with the prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00" // every key
}

// Get returns a key with its value and whether the key exists.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	var response RangeResponse
	if err := c.call(ctx, PathRange, false, RangeRequest{Key: []byte(key)}, &response); err != nil {
		return KeyValue{}, false, fmt.Errorf("get key %q: %w", key, err)
	}
	if len(response.Pairs) == 0 {
		return KeyValue{}, false, nil
	}
	return response.Pairs[0], true, nil
}

// ListPrefix returns every pair whose key has the prefix, and the store's revision at the first page.
//
// Later pages may be newer, so a watch from that revision can repeat changes that the pairs already contain.
func (c *Client) ListPrefix(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	request := RangeRequest{Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), Limit: pageSize}
	var pairs []KeyValue
	var revision int64
	for {
		var response RangeResponse
		if err := c.call(ctx, PathRange, false, request, &response); err != nil {
			return nil, 0, fmt.Errorf("read prefix %q: %w", prefix, err)
		}
		if revision == 0 {
			revision = response.Header.Revision
		}
		pairs = append(pairs, response.Pairs...)
		if !response.More || len(response.Pairs) == 0 {
			return pairs, revision, nil
		}
		last := response.Pairs[len(response.Pairs)-1].Key
		request.Key = append(append([]byte{}, last...), 0)
	}
}

// Put writes a key if its modification revision, 0 for a missing key, is expectedRevision.
//
// It attaches the key to a lease unless lease is 0. It returns the store's revision and whether the key was written.
func (c *Client) Put(ctx context.Context, key string, value []byte, expectedRevision, lease int64) (int64, bool, error) {
	if len(value) > MaxValueSize {
		return 0, false, fmt.Errorf("put key %q: %w: value has %d bytes, more than %d", key, ErrInvalid, len(value), MaxValueSize)
	}
	put := &PutRequest{Key: []byte(key), Value: value, Lease: lease}
	revision, done, err := c.compareAndSwap(ctx, key, expectedRevision, Operation{Put: put})
	if err != nil {
		return 0, false, fmt.Errorf("put key %q: %w", key, err)
	}
	return revision, done, nil
}

// Delete deletes a key if its modification revision is expectedRevision.
//
// It returns the store's revision and whether the key was deleted.
func (c *Client) Delete(ctx context.Context, key string, expectedRevision int64) (int64, bool, error) {
	revision, done, err := c.compareAndSwap(ctx, key, expectedRevision, Operation{Delete: &DeleteRequest{Key: []byte(key)}})
	if err != nil {
		return 0, false, fmt.Errorf("delete key %q: %w", key, err)
	}
	return revision, done, nil
}

// compareAndSwap applies op if the modification revision of the key is expectedRevision.
func (c *Client) compareAndSwap(ctx context.Context, key string, expectedRevision int64, op Operation) (int64, bool, error) {
	request := TxnRequest{
		Compare: []Compare{{Target: TargetModRevision, Result: ResultEqual, Key: []byte(key), ModRevision: expectedRevision}},
		Success: []Operation{op},
	}
	var response TxnResponse
	if err := c.call(ctx, PathTxn, true, request, &response); err != nil {
		return 0, false, err
	}
	return response.Header.Revision, response.Succeeded, nil
}

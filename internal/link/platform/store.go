package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/protocol/etcd"

	"github.com/rcrowley/go-metrics"
)

// Store reads and writes the keys of one site.
type Store struct {
	client   *etcd.Client
	site     string
	resolve  time.Duration
	lease    atomic.Int64 // of the entry instance, 0 for none
	log      *slog.Logger
	counters counters
}

// NewStore returns a store without a lease, for the command line; addresses are base addresses of the key-value store.
func NewStore(addresses []string, site string) (*Store, error) {
	client, err := etcd.New(addresses, ms(DefaultTimeout))
	if err != nil {
		return nil, fmt.Errorf("addresses of the key-value store: %w", err)
	}
	return &Store{
		client:   client,
		site:     site,
		resolve:  ms(DefaultResolve),
		log:      slog.Default(),
		counters: newCounters(metrics.NewRegistry()),
	}, nil
}

// Close closes the idle connections.
func (s *Store) Close() {
	s.client.Close()
}

// CompareAndSwap writes or deletes a record if its key has the expected revision. The error wraps ErrConflict or
// ErrUnavailable.
func (s *Store) CompareAndSwap(ctx context.Context, w message.Write) (int64, error) {
	a := attempt{key: w.Record.Key(), expected: w.Expected, deletes: w.Delete}
	if !w.Delete {
		value, err := json.Marshal(w.Record)
		if err != nil {
			return 0, fmt.Errorf("encode key %q: %w", a.key, err)
		}
		a.value = value
	}
	if w.Leased {
		if a.lease = s.lease.Load(); a.lease == 0 {
			return 0, fmt.Errorf("write key %q: %w: no lease", a.key, message.ErrUnavailable)
		}
	}
	return s.carry(ctx, a)
}

// Read returns a record and its revision; it wraps ErrNotFound or ErrUnavailable.
func (s *Store) Read(ctx context.Context, key string) (record.Record, int64, error) {
	value, revision, err := s.ReadRaw(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	r, err := decode(key, value)
	return r, revision, err
}

// List returns the records below a prefix; values that cannot be decoded are counted, logged and skipped.
func (s *Store) List(ctx context.Context, prefix string) ([]message.RecordChanged, error) {
	pairs, _, err := s.client.ListPrefix(ctx, s.full(prefix))
	if err != nil {
		return nil, s.unavailable(err)
	}
	var found []message.RecordChanged
	for _, p := range pairs {
		r, err := decode(s.local(p.Key), p.Value)
		if err != nil {
			s.skip(err)
			continue
		}
		found = append(found, message.RecordChanged{Record: r, Revision: p.ModRevision})
	}
	return found, nil
}

// ReadRaw returns the value of a key and its revision; it wraps ErrNotFound or ErrUnavailable.
func (s *Store) ReadRaw(ctx context.Context, key string) ([]byte, int64, error) {
	p, ok, err := s.client.Get(ctx, s.full(key))
	if err != nil {
		return nil, 0, s.unavailable(err)
	}
	if !ok {
		return nil, 0, fmt.Errorf("read key %q: %w", key, message.ErrNotFound)
	}
	return p.Value, p.ModRevision, nil
}

// WriteRaw creates a key; it wraps ErrConflict if the key has another value, or ErrUnavailable.
func (s *Store) WriteRaw(ctx context.Context, key string, value []byte) error {
	_, err := s.carry(ctx, attempt{key: key, value: value})
	if !errors.Is(err, message.ErrConflict) {
		return err
	}
	// The same bytes are left by an earlier call whose end stayed unknown.
	if old, _, lost := s.ReadRaw(ctx, key); lost == nil && bytes.Equal(old, value) {
		return nil
	}
	return err
}

// skip counts and logs a value that cannot be decoded, unless its key holds no record.
func (s *Store) skip(err error) {
	if errors.Is(err, errRaw) {
		return
	}
	s.counters.undecodable.Inc(1)
	s.log.Warn("value skipped", "event", "platform.undecodable", "error", err)
}

func (s *Store) unavailable(err error) error {
	s.counters.failed.Inc(1)
	return fmt.Errorf("%w: %w", message.ErrUnavailable, err)
}

func (s *Store) full(key string) string {
	return s.site + "/" + key
}

func (s *Store) local(key []byte) string {
	return strings.TrimPrefix(string(key), s.site+"/")
}

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
	client         *etcd.Client
	site           string
	resolveTimeout time.Duration
	lease          atomic.Int64 // of the entry instance, 0 if there is none
	log            *slog.Logger
	counters       counters
}

// NewStore returns a store without a lease, for commands. The addresses are base addresses of the key-value store.
func NewStore(addresses []string, site string) (*Store, error) {
	client, err := etcd.New(addresses, ms(DefaultTimeout))
	if err != nil {
		return nil, fmt.Errorf("addresses of the key-value store: %w", err)
	}
	return &Store{
		client:         client,
		site:           site,
		resolveTimeout: ms(DefaultResolveTimeout),
		log:            slog.Default(),
		counters:       newCounters(metrics.NewRegistry()),
	}, nil
}

// Close closes idle connections.
func (s *Store) Close() {
	s.client.Close()
}

// CompareAndSwap writes or deletes a record if its key has the expected revision. The error wraps ErrConflict or
// ErrUnavailable.
func (s *Store) CompareAndSwap(ctx context.Context, w message.Write) (int64, error) {
	encoded := encodedWrite{key: w.Record.Key(), expected: w.Expected, deletes: w.Delete}
	if !w.Delete {
		value, err := json.Marshal(w.Record)
		if err != nil {
			return 0, fmt.Errorf("encode key %q: %w", encoded.key, err)
		}
		encoded.value = value
	}
	if w.Leased {
		if encoded.lease = s.lease.Load(); encoded.lease == 0 {
			return 0, fmt.Errorf("write key %q: %w: no lease", encoded.key, message.ErrUnavailable)
		}
	}
	return s.resolveWrite(ctx, encoded)
}

// Read returns the record of a key and its revision. The error wraps ErrNotFound or ErrUnavailable, or says that the
// value cannot be decoded.
func (s *Store) Read(ctx context.Context, key string) (record.Record, int64, error) {
	value, revision, err := s.ReadRaw(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	r, err := decode(key, value)
	return r, revision, err
}

// List returns the records below a prefix. Values that cannot be decoded are counted, logged and skipped. The error
// wraps ErrUnavailable.
func (s *Store) List(ctx context.Context, prefix string) ([]message.RecordChanged, error) {
	pairs, _, err := s.client.ListPrefix(ctx, s.fullKey(prefix))
	if err != nil {
		return nil, s.unavailable(err)
	}
	var found []message.RecordChanged
	for _, p := range pairs {
		r, err := decode(s.localKey(p.Key), p.Value)
		if err != nil {
			s.skipValue(err)
			continue
		}
		found = append(found, message.RecordChanged{Record: r, Revision: p.ModRevision})
	}
	return found, nil
}

// ReadRaw returns the value of a key and its revision. The error wraps ErrNotFound or ErrUnavailable.
func (s *Store) ReadRaw(ctx context.Context, key string) ([]byte, int64, error) {
	p, ok, err := s.client.Get(ctx, s.fullKey(key))
	if err != nil {
		return nil, 0, s.unavailable(err)
	}
	if !ok {
		return nil, 0, fmt.Errorf("read key %q: %w", key, message.ErrNotFound)
	}
	return p.Value, p.ModRevision, nil
}

// WriteRaw creates a key. It succeeds if the key already has the value; the error wraps ErrConflict if the key has
// another value, or ErrUnavailable.
func (s *Store) WriteRaw(ctx context.Context, key string, value []byte) error {
	_, err := s.resolveWrite(ctx, encodedWrite{key: key, value: value})
	if !errors.Is(err, message.ErrConflict) {
		return err
	}
	// An earlier call whose outcome stayed unknown may have written the same bytes.
	if current, _, readErr := s.ReadRaw(ctx, key); readErr == nil && bytes.Equal(current, value) {
		return nil
	}
	return err
}

// skipValue counts and logs a value that cannot be decoded. Keys that hold no record are ignored.
func (s *Store) skipValue(err error) {
	if errors.Is(err, errNotRecord) {
		return
	}
	s.counters.undecodable.Inc(1)
	s.log.Warn("skipped a value that cannot be decoded", "event", "platform.undecodable", "error", err)
}

func (s *Store) unavailable(err error) error {
	s.counters.failedCalls.Inc(1)
	return fmt.Errorf("%w: %w", message.ErrUnavailable, err)
}

func (s *Store) fullKey(key string) string {
	return s.site + "/" + key
}

func (s *Store) localKey(key []byte) string {
	return strings.TrimPrefix(string(key), s.site+"/")
}

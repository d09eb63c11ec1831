package memory

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	None   Fault = iota
	Refuse       // the call has no effect and its caller gets ErrUnavailable
	Lose         // the call takes effect and its caller gets ErrUnavailable
)

// Call is one call of the store.
type Call struct {
	Write bool
	Key   string // or the prefix of a list
}

// Counters count the calls and the bytes of values.
type Counters struct {
	Reads, Writes           int
	BytesRead, BytesWritten int
}

// Store keeps values in memory; the zero Store is not usable.
type Store struct {
	mutex    sync.Mutex
	values   map[string]value
	revision int64
	inject   func(Call) Fault
	before   func(Call)
	watch    func(message.RecordChanged)
	counters Counters
}

type value struct {
	record   record.Record
	raw      []byte
	revision int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		values: map[string]value{},
		inject: func(Call) Fault { return None },
		before: func(Call) {},
		watch:  func(message.RecordChanged) {},
	}
}

// Inject decides the fault of every later call; f must not call the store.
func (s *Store) Inject(f func(Call) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inject = f
}

// Before runs f before every later call takes effect; f may call the store.
func (s *Store) Before(f func(Call)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.before = f
}

// enter locks the store after the hook of Before ran.
func (s *Store) enter(c Call) {
	s.mutex.Lock()
	before := s.before
	s.mutex.Unlock()
	before(c)
	s.mutex.Lock()
}

// Watch reports every later write of a record, in order; f must not call the store.
func (s *Store) Watch(f func(message.RecordChanged)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watch = f
}

// Counters returns the counters since New.
func (s *Store) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters
}

// Keys returns the sorted keys.
func (s *Store) Keys() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.values))
}

// CompareAndSwap writes or deletes a record if its key has the expected revision.
func (s *Store) CompareAndSwap(ctx context.Context, w message.Write) (int64, error) {
	key := w.Record.Key()
	call := Call{Write: true, Key: key}
	s.enter(call)
	defer s.mutex.Unlock()
	fault, err := s.begin(ctx, call)
	if err != nil {
		return 0, err
	}
	if s.values[key].revision != w.Expected {
		err = fmt.Errorf("swap %q: %w", key, message.ErrConflict)
	} else {
		s.swap(key, w)
	}
	if fault == Lose {
		return 0, lost(key)
	}
	return s.values[key].revision, err
}

func (s *Store) swap(key string, w message.Write) {
	s.revision++
	text, err := json.Marshal(w.Record)
	if err != nil {
		panic(fmt.Sprintf("record %T cannot be encoded: %v", w.Record, err))
	}
	s.counters.BytesWritten += len(text)
	if w.Delete {
		delete(s.values, key)
	} else {
		s.values[key] = value{record: w.Record, raw: text, revision: s.revision}
	}
	s.watch(message.RecordChanged{Record: w.Record, Revision: s.revision, Deleted: w.Delete})
}

// Read returns a record and its revision.
func (s *Store) Read(ctx context.Context, key string) (record.Record, int64, error) {
	s.enter(Call{Key: key})
	defer s.mutex.Unlock()
	v, err := s.read(ctx, key)
	return v.record, v.revision, err
}

// ReadRaw returns a value as it was written and its revision.
func (s *Store) ReadRaw(ctx context.Context, key string) ([]byte, int64, error) {
	s.enter(Call{Key: key})
	defer s.mutex.Unlock()
	v, err := s.read(ctx, key)
	return v.raw, v.revision, err
}

func (s *Store) read(ctx context.Context, key string) (value, error) {
	fault, err := s.begin(ctx, Call{Key: key})
	if err != nil {
		return value{}, err
	}
	v, ok := s.values[key]
	if fault == Lose {
		return value{}, lost(key)
	}
	if !ok {
		return value{}, fmt.Errorf("read %q: %w", key, message.ErrNotFound)
	}
	s.counters.BytesRead += len(v.raw)
	return v, nil
}

// WriteRaw creates a key; it wraps ErrConflict if the key has another value.
func (s *Store) WriteRaw(ctx context.Context, key string, text []byte) error {
	call := Call{Write: true, Key: key}
	s.enter(call)
	defer s.mutex.Unlock()
	fault, err := s.begin(ctx, call)
	if err != nil {
		return err
	}
	old, exists := s.values[key]
	if !exists {
		s.put(key, text)
	}
	switch {
	case fault == Lose:
		return lost(key)
	case exists && !bytes.Equal(old.raw, text):
		return fmt.Errorf("write %q: %w", key, message.ErrConflict)
	}
	return nil
}

func (s *Store) put(key string, text []byte) {
	s.revision++
	s.counters.BytesWritten += len(text)
	s.values[key] = value{raw: slices.Clone(text), revision: s.revision}
}

// Damage replaces the value of a key with text, as a fault of the platform would.
func (s *Store) Damage(key, text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, []byte(text))
}

// List returns the records below a prefix in order of key.
func (s *Store) List(ctx context.Context, prefix string) ([]message.RecordChanged, error) {
	call := Call{Key: prefix}
	s.enter(call)
	defer s.mutex.Unlock()
	fault, err := s.begin(ctx, call)
	if err != nil {
		return nil, err
	}
	if fault == Lose {
		return nil, lost(prefix)
	}
	var found []message.RecordChanged
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		v := s.values[key]
		if strings.HasPrefix(key, prefix) && v.record != nil {
			s.counters.BytesRead += len(v.raw)
			found = append(found, message.RecordChanged{Record: v.record, Revision: v.revision})
		}
	}
	return found, nil
}

// begin counts a call and returns its fault, or the error of a call that has no effect.
func (s *Store) begin(ctx context.Context, c Call) (Fault, error) {
	if err := ctx.Err(); err != nil {
		return None, err
	}
	if c.Write {
		s.counters.Writes++
	} else {
		s.counters.Reads++
	}
	fault := s.inject(c)
	if fault == Refuse {
		return None, lost(c.Key)
	}
	return fault, nil
}

func lost(key string) error {
	return fmt.Errorf("call on %q: %w", key, message.ErrUnavailable)
}

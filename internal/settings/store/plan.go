package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// writePlan holds the value of a version and the head that makes it the current one.
type writePlan struct {
	key    string
	value  []byte
	head   record.ConfigHead
	result ApplyResult
}

// newWritePlan returns the writes of a change: a delta, or a snapshot after maxDeltas deltas or if a delta is not possible.
func newWritePlan(head record.ConfigHead, current Assembly, c Change) (writePlan, error) {
	to, err := newJSONDocument(newDocument(c.Fleet))
	if err != nil {
		return writePlan{}, err
	}
	if current.key != "" && reflect.DeepEqual(current.document, to.document) {
		return writePlan{result: ApplyResult{Version: head.Version, Unchanged: true}}, nil
	}
	meta := metadata{Version: head.Version + 1, Change: c.ID, Author: c.Author, Time: c.Time}
	p := writePlan{head: record.ConfigHead{Version: meta.Version, Change: c.ID, Author: c.Author, Time: c.Time}}
	p.result = ApplyResult{Version: meta.Version}
	patch, full := current.patchTo(head, to)
	if full {
		err = p.setSnapshot(head, meta, to.text)
	} else {
		err = p.setDelta(head, meta, patch)
	}
	if err == nil && len(p.value) > maxValueSize {
		err = fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, len(p.value), maxValueSize)
	}
	p.result.Bytes = len(p.value)
	return p, err
}

// patchTo returns the patch to a document, or true if the document must be stored as a snapshot.
func (a Assembly) patchTo(head record.ConfigHead, to jsonDocument) (json.RawMessage, bool) {
	if a.key == "" || len(head.Deltas) >= maxDeltas {
		return nil, true
	}
	patch, ok := a.createPatch(to)
	return patch, !ok || len(patch) >= len(to.text)
}

func (p *writePlan) setSnapshot(head record.ConfigHead, meta metadata, text []byte) error {
	value := snapshot{metadata: meta, Document: text}
	if head.Version > 0 {
		previous := chainOf(head)
		value.Previous = &previous
	}
	p.key = snapshotKey(meta.Version, meta.Change)
	p.head.Snapshot = p.key
	p.result.Snapshot = true
	return p.encode(value)
}

func (p *writePlan) setDelta(head record.ConfigHead, meta metadata, patch json.RawMessage) error {
	p.key = deltaKey(meta.Version, meta.Change)
	p.head.Snapshot = head.Snapshot
	p.head.Deltas = append(append([]string{}, head.Deltas...), p.key)
	return p.encode(delta{metadata: meta, Patch: patch})
}

func (p *writePlan) encode(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %q: %w", p.key, err)
	}
	p.value = text
	return nil
}

// write stores the value, then the head that names it.
func (p *writePlan) write(ctx context.Context, s Store, revision int64) error {
	err := s.WriteRaw(ctx, p.key, p.value)
	if errors.Is(err, message.ErrConflict) {
		err = p.reuseStored(ctx, s)
	}
	if err != nil {
		return fmt.Errorf("write %q: %w", p.key, err)
	}
	text, err := json.Marshal(p.head)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := s.CompareAndSwap(ctx, message.Write{Record: p.head, Expected: revision}); err != nil {
		return fmt.Errorf("write configuration head: %w", err)
	}
	p.result.Bytes += len(text)
	return nil
}

// reuseStored accepts the value that an earlier command wrote for the same change, with its author and time.
func (p *writePlan) reuseStored(ctx context.Context, s Store) error {
	text, _, err := s.ReadRaw(ctx, p.key)
	if err != nil {
		return err
	}
	var own, stored storedValue
	if err := decode(p.key, p.value, &own); err != nil {
		return err
	}
	if err := decode(p.key, text, &stored); err != nil {
		return err
	}
	if !bytes.Equal(own.Document, stored.Document) || !bytes.Equal(own.Patch, stored.Patch) {
		return fmt.Errorf("%w: %q", ErrChangeIDReused, p.head.Change)
	}
	p.head.Author, p.head.Time = stored.Author, stored.Time
	return nil
}

// storedValue decodes the value of a snapshot or delta key.
type storedValue struct {
	metadata
	Document json.RawMessage `json:"document"`
	Patch    json.RawMessage `json:"patch"`
}

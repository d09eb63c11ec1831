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

// planned is a value to write and the head that brings it into force.
type planned struct {
	key     string
	value   []byte
	head    record.ConfigHead
	applied Applied
}

// plan returns the writes of a change; it prefers a delta and takes a snapshot after maxDeltas of them.
func plan(head record.ConfigHead, now Assembly, c Change) (planned, error) {
	to, err := newTree(newDocument(c.Fleet))
	if err != nil {
		return planned{}, err
	}
	if now.key != "" && reflect.DeepEqual(now.document, to.document) {
		return planned{applied: Applied{Version: head.Version, Unchanged: true}}, nil
	}
	by := stamp{Version: head.Version + 1, Change: c.ID, Author: c.Author, Time: c.Time}
	p := planned{head: record.ConfigHead{Version: by.Version, Change: c.ID, Author: c.Author, Time: c.Time}}
	p.applied = Applied{Version: by.Version}
	patch, whole := now.patchOf(head, to)
	if whole {
		err = p.snapshot(head, by, to.text)
	} else {
		err = p.delta(head, by, patch)
	}
	if err == nil && len(p.value) > maxValue {
		err = fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, len(p.value), maxValue)
	}
	p.applied.Bytes = len(p.value)
	return p, err
}

// patchOf returns the patch to a document, or true when it must be written whole.
func (a Assembly) patchOf(head record.ConfigHead, to tree) (json.RawMessage, bool) {
	if a.key == "" || len(head.Deltas) >= maxDeltas {
		return nil, true
	}
	patch, ok := a.patch(to)
	return patch, !ok || len(patch) >= len(to.text)
}

func (p *planned) snapshot(head record.ConfigHead, by stamp, text []byte) error {
	value := snapshot{stamp: by, Document: text}
	if head.Version > 0 {
		previous := chainOf(head)
		value.Previous = &previous
	}
	p.key = snapshotKey(by.Version, by.Change)
	p.head.Snapshot = p.key
	p.applied.Snapshot = true
	return p.encode(value)
}

func (p *planned) delta(head record.ConfigHead, by stamp, patch json.RawMessage) error {
	p.key = deltaKey(by.Version, by.Change)
	p.head.Snapshot = head.Snapshot
	p.head.Deltas = append(append([]string{}, head.Deltas...), p.key)
	return p.encode(delta{stamp: by, Patch: patch})
}

func (p *planned) encode(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %q: %w", p.key, err)
	}
	p.value = text
	return nil
}

// write stores the value before the head that names it.
func (p *planned) write(ctx context.Context, s Store, revision int64) error {
	err := s.WriteRaw(ctx, p.key, p.value)
	if errors.Is(err, message.ErrConflict) {
		err = p.adopt(ctx, s)
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
	p.applied.Bytes += len(text)
	return nil
}

// adopt takes the value that an earlier command wrote for the same change at another time.
func (p *planned) adopt(ctx context.Context, s Store) error {
	text, _, err := s.ReadRaw(ctx, p.key)
	if err != nil {
		return err
	}
	var mine, stored content
	if err := decode(p.key, p.value, &mine); err != nil {
		return err
	}
	if err := decode(p.key, text, &stored); err != nil {
		return err
	}
	if !bytes.Equal(mine.Document, stored.Document) || !bytes.Equal(mine.Patch, stored.Patch) {
		return fmt.Errorf("%w: %q", ErrOtherContent, p.head.Change)
	}
	p.head.Author, p.head.Time = stored.Author, stored.Time
	return nil
}

// content is the value of a key of either kind.
type content struct {
	stamp
	Document json.RawMessage `json:"document"`
	Patch    json.RawMessage `json:"patch"`
}

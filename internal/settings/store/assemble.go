package store

import (
	"context"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// Assembly is an assembled configuration, from which a newer one costs only the missing deltas.
type Assembly struct {
	Fleet    fleet.Fleet
	Calls    int // reads that this assembly took
	Bytes    int // read by them
	key      string
	document any // decoded JSON, shared between assemblies and never changed
}

// Assemble returns the configuration that a head names, starting from an earlier assembly if it can.
//
// Its error wraps ErrCorrupt, or the error of the store. With the latter it
// returns the part read so far, from which the next call goes on: otherwise a
// platform that loses every third answer would keep a long chain from ever
// being read.
func (a Assembly) Assemble(ctx context.Context, s Store, h record.ConfigHead) (Assembly, error) {
	return a.extend(ctx, s, chainOf(h), h.Version)
}

// Reached returns the newest version of the part read before an error, if it is above the given version.
func (a Assembly) Reached(above uint64) (Assembly, bool) {
	version, _, ok := parseKey(a.key)
	if !ok || version <= above {
		return Assembly{}, false
	}
	reached, err := a.decoded(version)
	return reached, err == nil
}

func (a Assembly) extend(ctx context.Context, s Store, c chain, version uint64) (Assembly, error) {
	a.Calls, a.Bytes = 0, 0
	missing, known := a.missing(c)
	if !known {
		whole, err := readSnapshot(ctx, s, c.Snapshot)
		if err != nil {
			return a, err
		}
		a = whole
	}
	at, _, _ := parseKey(a.key)
	for _, key := range missing {
		next, err := a.withDelta(ctx, s, key, at+1)
		if err != nil {
			return a, err
		}
		a = next
		at++
	}
	if at != version {
		return a, fmt.Errorf("%w: head of version %d leads to version %d", ErrCorrupt, version, at)
	}
	return a.decoded(version)
}

// missing returns the deltas to read, and whether the assembly is part of the chain.
func (a Assembly) missing(c chain) ([]string, bool) {
	if a.key == "" {
		return c.Deltas, false
	}
	if a.key == c.Snapshot {
		return c.Deltas, true
	}
	if i := slices.Index(c.Deltas, a.key); i >= 0 {
		return c.Deltas[i+1:], true
	}
	return c.Deltas, false
}

func readSnapshot(ctx context.Context, s Store, key string) (Assembly, error) {
	text, _, err := s.ReadRaw(ctx, key)
	if err != nil {
		return Assembly{}, fmt.Errorf("read snapshot %q: %w", key, err)
	}
	var value snapshot
	if err := decode(key, text, &value); err != nil {
		return Assembly{}, err
	}
	if err := value.verify(key); err != nil {
		return Assembly{}, err
	}
	a := Assembly{key: key, Calls: 1, Bytes: len(text)}
	return a, decode(key, value.Document, &a.document)
}

// withDelta returns the assembly with the patch of one more version.
func (a Assembly) withDelta(ctx context.Context, s Store, key string, version uint64) (Assembly, error) {
	text, _, err := s.ReadRaw(ctx, key)
	if err != nil {
		return Assembly{}, fmt.Errorf("read delta %q: %w", key, err)
	}
	var value delta
	if err := decode(key, text, &value); err != nil {
		return Assembly{}, err
	}
	if err := value.verify(key); err != nil {
		return Assembly{}, err
	}
	if value.Version != version {
		return Assembly{}, fmt.Errorf("%w: delta %q follows version %d", ErrCorrupt, key, version-1)
	}
	var patch any
	if err := decode(key, value.Patch, &patch); err != nil {
		return Assembly{}, err
	}
	a.key, a.document = key, merge(a.document, patch)
	a.Calls++
	a.Bytes += len(text)
	return a, nil
}

// decoded returns the assembly with its fleet.
func (a Assembly) decoded(version uint64) (Assembly, error) {
	d, err := decodeFleet(a.key, a.document)
	if err != nil {
		return a, err
	}
	a.Fleet = d.fleet(version)
	return a, nil
}

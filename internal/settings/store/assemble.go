package store

import (
	"context"
	"fmt"
	"slices"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// Assembly is a configuration read from a snapshot and its deltas; a newer version needs only the missing deltas.
type Assembly struct {
	Fleet    fleet.Fleet
	Reads    int // number of reads by the last call of Assemble
	Bytes    int // bytes read by the last call of Assemble
	key      string
	document any // decoded JSON, shared between assemblies and never modified
}

// Assemble returns the configuration that a head names; it starts from the receiver if that is part of the chain.
//
// The error wraps ErrCorrupt or the error of the store. With a store error it
// returns the part read so far, from which the next call resumes: a platform
// that loses every third answer would otherwise keep a long chain from ever
// being read.
func (a Assembly) Assemble(ctx context.Context, s Store, h record.ConfigHead) (Assembly, error) {
	return a.extend(ctx, s, chainOf(h), h.Version)
}

// Partial returns the newest version that was read before an error, if it is newer than above.
func (a Assembly) Partial(above uint64) (Assembly, bool) {
	version, _, ok := parseKey(a.key)
	if !ok || version <= above {
		return Assembly{}, false
	}
	reached, err := a.withFleet(version)
	return reached, err == nil
}

// extend returns the assembly with the snapshot and deltas of the chain that it lacks.
func (a Assembly) extend(ctx context.Context, s Store, c deltaChain, version uint64) (Assembly, error) {
	a.Reads, a.Bytes = 0, 0
	missing, usable := a.missing(c)
	if !usable {
		base, err := readSnapshot(ctx, s, c.Snapshot)
		if err != nil {
			return a, err
		}
		a = base
	}
	reached, _, _ := parseKey(a.key)
	for _, key := range missing {
		next, err := a.withDelta(ctx, s, key, reached+1)
		if err != nil {
			return a, err
		}
		a = next
		reached++
	}
	if reached != version {
		return a, fmt.Errorf("%w: head has version %d, its deltas end at version %d", ErrCorrupt, version, reached)
	}
	return a.withFleet(version)
}

// missing returns the deltas to read, and whether the assembly is a prefix of the chain.
func (a Assembly) missing(c deltaChain) ([]string, bool) {
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
	a := Assembly{key: key, Reads: 1, Bytes: len(text)}
	return a, decode(key, value.Document, &a.document)
}

// withDelta reads the delta at key and returns the assembly with its patch applied.
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
		return Assembly{}, fmt.Errorf("%w: delta %q does not continue version %d", ErrCorrupt, key, version-1)
	}
	var patch any
	if err := decode(key, value.Patch, &patch); err != nil {
		return Assembly{}, err
	}
	a.key, a.document = key, applyMergePatch(a.document, patch)
	a.Reads++
	a.Bytes += len(text)
	return a, nil
}

// withFleet returns the assembly with its document decoded into Fleet.
func (a Assembly) withFleet(version uint64) (Assembly, error) {
	decoded, err := decodeFleet(a.key, a.document)
	if err != nil {
		return a, err
	}
	a.Fleet = decoded.fleet(version)
	return a, nil
}

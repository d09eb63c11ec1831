package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"teaselloft/internal/model/record"
)

// errNotRecord is returned for keys whose values are not records.
var errNotRecord = errors.New("key holds no record")

// keyKind describes how the keys below a prefix are decoded.
type keyKind struct {
	prefix   string
	depth    int  // number of slashes after the prefix
	raw      bool // values are not records
	decode   func(value []byte) (record.Record, error)
	identify func(suffix string) (record.Record, error) // returns a record with only the fields of its key
}

// keyKinds lists all kinds of keys, without the site prefix.
var keyKinds = []keyKind{
	kindOf(record.PrefixMember, func(name string) record.Member { return record.Member{Entry: name} }),
	kindOf(record.PrefixOwner, func(name string) record.Owner { return record.Owner{Service: name} }),
	kindOf(record.PrefixClaim, func(name string) record.Claim { return record.Claim{Service: name} }),
	claimSegments(),
	kindOf(record.PrefixInstance, func(name string) record.Instance { return record.Instance{ID: name} }),
	kindOf(record.PrefixBudget, func(name string) record.Ledger { return record.Ledger{Service: name} }),
	kindOf(record.PrefixWave, func(name string) record.Wave { return record.Wave{ID: name} }),
	kindOf(record.KeyConfigHead, func(string) record.ConfigHead { return record.ConfigHead{} }),
	{prefix: record.PrefixConfig + "snapshot/", raw: true},
	{prefix: record.PrefixConfig + "delta/", raw: true},
}

func kindOf[T record.Record](prefix string, identify func(suffix string) T) keyKind {
	return keyKind{
		prefix:   prefix,
		decode:   decodeAs[T],
		identify: func(suffix string) (record.Record, error) { return identify(suffix), nil },
	}
}

// claimSegments describes the keys of claim segments, the only ones with a slash after their prefix.
func claimSegments() keyKind {
	return keyKind{
		prefix: record.PrefixClaim,
		depth:  1,
		decode: decodeAs[record.ClaimSegment],
		identify: func(suffix string) (record.Record, error) {
			service, text, _ := strings.Cut(suffix, "/")
			number, err := strconv.ParseUint(text, 10, 64)
			return record.ClaimSegment{Service: service, Number: number}, err
		},
	}
}

func decodeAs[T record.Record](value []byte) (record.Record, error) {
	var r T
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	return r, nil
}

// kindFor returns the kind of a key and the part of the key after its prefix.
func kindFor(key string) (keyKind, string, error) {
	for _, k := range keyKinds {
		suffix, ok := strings.CutPrefix(key, k.prefix)
		if !ok || !k.raw && strings.Count(suffix, "/") != k.depth {
			continue
		}
		if k.raw {
			return keyKind{}, "", fmt.Errorf("key %q: %w", key, errNotRecord)
		}
		return k, suffix, nil
	}
	return keyKind{}, "", fmt.Errorf("key %q has no known prefix", key)
}

// decode returns the record of a key. It fails if the record belongs to another key.
func decode(key string, value []byte) (record.Record, error) {
	k, _, err := kindFor(key)
	if err != nil {
		return nil, err
	}
	r, err := k.decode(value)
	if err != nil {
		return nil, fmt.Errorf("decode key %q: %w", key, err)
	}
	if r.Key() != key {
		return nil, fmt.Errorf("key %q holds the record of key %q", key, r.Key())
	}
	return r, nil
}

// deletedRecord returns the record of a deleted key, with only its identifying fields set.
func deletedRecord(key string) (record.Record, error) {
	k, suffix, err := kindFor(key)
	if err != nil {
		return nil, err
	}
	r, err := k.identify(suffix)
	if err != nil {
		return nil, fmt.Errorf("decode key %q: %w", key, err)
	}
	return r, nil
}

// prefixes returns the distinct prefixes of all records.
func prefixes() []string {
	var found []string
	for _, k := range keyKinds {
		if !k.raw && k.depth == 0 {
			found = append(found, k.prefix)
		}
	}
	return found
}

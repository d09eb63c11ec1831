package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"teaselloft/internal/model/record"
)

// errRaw is returned for keys whose values are no records.
var errRaw = errors.New("key holds no record")

// kind says how the keys of one prefix are decoded.
type kind struct {
	prefix string
	depth  int // slashes below the prefix
	raw    bool
	decode func(value []byte) (record.Record, error)
	named  func(suffix string) (record.Record, error)
}

// kinds is the table of all keys, without the site prefix.
var kinds = []kind{
	kindOf(record.PrefixMember, func(name string) record.Member { return record.Member{Entry: name} }),
	kindOf(record.PrefixOwner, func(name string) record.Owner { return record.Owner{Service: name} }),
	kindOf(record.PrefixClaim, func(name string) record.Claim { return record.Claim{Service: name} }),
	segments(),
	kindOf(record.PrefixInstance, func(name string) record.Instance { return record.Instance{ID: name} }),
	kindOf(record.PrefixBudget, func(name string) record.Ledger { return record.Ledger{Service: name} }),
	kindOf(record.PrefixWave, func(name string) record.Wave { return record.Wave{ID: name} }),
	kindOf(record.KeyConfigHead, func(string) record.ConfigHead { return record.ConfigHead{} }),
	{prefix: record.PrefixConfig + "snapshot/", raw: true},
	{prefix: record.PrefixConfig + "delta/", raw: true},
}

func kindOf[T record.Record](prefix string, named func(suffix string) T) kind {
	return kind{
		prefix: prefix,
		decode: decodeAs[T],
		named:  func(suffix string) (record.Record, error) { return named(suffix), nil },
	}
}

// segments are the only keys with a slash below their prefix.
func segments() kind {
	return kind{
		prefix: record.PrefixClaim,
		depth:  1,
		decode: decodeAs[record.ClaimSegment],
		named: func(suffix string) (record.Record, error) {
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

// kindFor returns the table's entry for a key and the key's part below its prefix.
func kindFor(key string) (kind, string, error) {
	for _, k := range kinds {
		suffix, ok := strings.CutPrefix(key, k.prefix)
		if !ok || !k.raw && strings.Count(suffix, "/") != k.depth {
			continue
		}
		if k.raw {
			return kind{}, "", fmt.Errorf("key %q: %w", key, errRaw)
		}
		return k, suffix, nil
	}
	return kind{}, "", fmt.Errorf("key %q has no known prefix", key)
}

// decode returns the record of a key; its own key must be that key.
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

// deleted returns a record with only its identifying field set.
func deleted(key string) (record.Record, error) {
	k, suffix, err := kindFor(key)
	if err != nil {
		return nil, err
	}
	r, err := k.named(suffix)
	if err != nil {
		return nil, fmt.Errorf("decode key %q: %w", key, err)
	}
	return r, nil
}

// prefixes returns the prefixes of all records, without repetition.
func prefixes() []string {
	var found []string
	for _, k := range kinds {
		if !k.raw && k.depth == 0 {
			found = append(found, k.prefix)
		}
	}
	return found
}

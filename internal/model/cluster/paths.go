package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// KeyPaths is the key of the record of the paths.
const KeyPaths = Prefix + "paths"

// pathRetention is how long a pool that a path was moved away from is remembered. Callers repeat a submission for seconds,
// and the outcome of a job is kept for minutes.
const pathRetention = time.Hour

// Paths holds, for each path on which jobs were submitted, the pools that may have accepted them. It is immutable.
//
// A daemon submits jobs of a path to a pool only after the stored record names that pool as the current one of the path.
// The record is changed by compare-and-swap, so that it names every earlier pool as well, also to daemons that never saw
// the configuration of that time.
type Paths struct {
	Pools    map[string][]PathPool `cbor:"pools"` // by path
	Revision int64                 `cbor:"-"`     // of the record in the store; 0 if there is none
}

// PathPool is a pool to which a path was or is routed.
type PathPool struct {
	Pool    string `cbor:"pool"`
	Version int64  `cbor:"version"`        // latest configuration that was seen to route the path there
	Left    int64  `cbor:"left,omitempty"` // when the path was moved away or removed, in Unix milliseconds; 0 for the current pool
}

// Current returns the pool to which a path is routed.
func (p Paths) Current(path string) (PathPool, bool) {
	for _, x := range p.Pools[path] {
		if x.Left == 0 {
			return x, true
		}
	}
	return PathPool{}, false
}

// Former returns the pools other than the given one that may have accepted jobs of a path.
func (p Paths) Former(path, pool string) []string {
	var former []string
	for _, x := range p.Pools[path] {
		if x.Pool != pool {
			former = append(former, x.Pool)
		}
	}
	return former
}

// WithRoute returns a copy in which a configuration of the given version routes a path to a pool, from the given Unix
// millisecond on.
func (p Paths) WithRoute(path, pool string, version, now int64) Paths {
	pools := slices.Clone(p.Pools[path])
	for i, x := range pools {
		if x.Left == 0 {
			pools[i].Left = now
		}
	}
	pools = slices.DeleteFunc(pools, func(x PathPool) bool { return x.Pool == pool })
	p.Pools = with(p.Pools, path, append(pools, PathPool{Pool: pool, Version: version}))
	return p
}

// WithoutUnrouted returns a copy that notes which paths the configuration of the given version no longer contains, and
// that lacks the pools that paths were moved away from longer than the retention ago.
func (p Paths) WithoutUnrouted(isRouted func(path string) bool, version, now int64) Paths {
	pools := maps.Clone(p.Pools)
	for path, known := range p.Pools {
		known = slices.Clone(known)
		for i, x := range known {
			if x.Left == 0 && x.Version <= version && !isRouted(path) {
				known[i].Left = now
			}
		}
		known = slices.DeleteFunc(known, func(x PathPool) bool { return x.Left != 0 && now-x.Left > pathRetention.Milliseconds() })
		pools[path] = known
		if len(known) == 0 {
			delete(pools, path)
		}
	}
	p.Pools = pools
	return p
}

// WithRevision returns a copy with the revision of the record in the store.
func (p Paths) WithRevision(revision int64) Paths {
	p.Revision = revision
	return p
}

// Validate returns an error unless each path has a pool.
func (p Paths) Validate() error {
	for path, pools := range p.Pools {
		if len(pools) == 0 || slices.ContainsFunc(pools, func(x PathPool) bool { return x.Pool == "" }) {
			return fmt.Errorf("%w: path %.80q has no pool", ErrRecord, path)
		}
	}
	return nil
}

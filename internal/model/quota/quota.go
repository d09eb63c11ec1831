package quota

import (
	"errors"
	"fmt"

	"teaselloft/internal/model/job"
)

// Prefix is the key prefix of the records in the store. The name of the client account follows.
const Prefix = "teaselloft/quota/"

// Share is the part of an account's quota that a pool has.
type Share struct {
	Limit job.Resources `cbor:"limit"` // that the owner of the pool is to act on
	Bound job.Resources `cbor:"bound"` // largest amount that it may still use, because it may act on an earlier limit or have more running
}

// Record is the stored division of the quota of one account. Resources whose Maximum is 0 are not limited.
type Record struct {
	Version uint64           `cbor:"version"` // increases with each write
	Maximum job.Resources    `cbor:"maximum"` // quota that was divided
	Pools   map[string]Share `cbor:"pools"`
}

// Limit is the part of an account's quota that the owner of a pool may use.
type Limit struct {
	Version uint64        `cbor:"version"` // of the record
	Maximum job.Resources `cbor:"maximum"`
	Limit   job.Resources `cbor:"limit"`
}

// Use is what an account uses in a pool, and what it could use there.
type Use struct {
	Version uint64        `cbor:"version"` // of the limit in force, 0 if the owner has none
	Used    job.Resources `cbor:"used"`    // by everything that runs or may run
	Wanted  job.Resources `cbor:"wanted"`  // in addition, by the ready tasks that do not run
	Largest job.Resources `cbor:"largest"` // largest amount of each resource that one ready task requests
}

// Report is what the owner of a pool reports about the accounts with a quota.
type Report struct {
	Epoch    uint64         `cbor:"epoch"` // of the owner
	Accounts map[string]Use `cbor:"accounts,omitempty"`
}

// ErrRecord is wrapped by the errors about records that no lender writes.
var ErrRecord = errors.New("invalid quota record")

const (
	maxVersion = 1 << 62 // leaves room for the versions of later lenders
	maxAmount  = job.MaxResource * job.MaxTasks
)

// Validate returns an error unless a lender can have written the record.
func (r Record) Validate() error {
	valid := func(x job.Resources) bool {
		in := func(n int64) bool { return n >= 0 && n <= maxAmount }
		return in(x.CPU) && in(x.Memory) && in(x.GPU)
	}
	if r.Version == 0 || r.Version >= maxVersion || !valid(r.Maximum) {
		return fmt.Errorf("%w: version %d, maximum %+v", ErrRecord, r.Version, r.Maximum)
	}
	for pool, s := range r.Pools {
		if !valid(s.Limit) || !valid(s.Bound) {
			return fmt.Errorf("%w: pool %.40q: %+v", ErrRecord, pool, s)
		}
	}
	return nil
}

// Nothing returns the limit for a pool whose record is unreadable: nothing starts until the lender has written another one.
func Nothing() Limit {
	return Limit{Version: 1, Maximum: job.Resources{CPU: maxAmount, Memory: maxAmount, GPU: maxAmount}}
}

// For returns the limit of a pool in a record.
func (r Record) For(pool string) (Limit, bool) {
	s, ok := r.Pools[pool]
	return Limit{Version: r.Version, Maximum: r.Maximum, Limit: s.Limit}, ok
}

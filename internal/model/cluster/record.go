package cluster

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// Key prefixes of the daemons' records in the store.
const (
	Prefix           = "teaselloft/own/"
	PrefixMember     = Prefix + "member/"
	PrefixOwner      = Prefix + "owner/"
	PrefixWriteFence = "teaselloft/chain/" // outside Prefix, because every write of an owner changes it
)

// FleetDuty is the name of the duty that moves and maintains instances. Every other duty has the name of its pool.
const FleetDuty = "*fleet"

// Member is a live daemon. Its key is bound to the daemon's lease.
type Member struct {
	Name    string `cbor:"name"`
	Address string `cbor:"address"` // for connections from other daemons
	Zone    string `cbor:"zone"`
	Start   int64  `cbor:"start"` // start time in Unix milliseconds; distinguishes the incarnations of a name
	Leaving bool   `cbor:"leaving,omitempty"`
	Power   int    `cbor:"power,omitempty"` // CPU limit in millicores
}

// Owner records which daemon owns a duty. The record remains after the daemon has stopped.
type Owner struct {
	Duty    string `cbor:"duty"`
	Name    string `cbor:"name"`
	Start   int64  `cbor:"start"`
	Address string `cbor:"address"`
	Epoch   uint64 `cbor:"epoch"` // increases with each change of owner; also the fencing token of orders to instances, and the high part of those of calls to executors

	Revision int64 `cbor:"-"` // of the record in the store
}

// WithRevision returns a copy with the revision of the record in the store.
func (o Owner) WithRevision(revision int64) Owner {
	o.Revision = revision
	return o
}

// WriteFenceKey returns the key of the write fence of a lane of a duty. An owner has a write in flight in each lane.
func WriteFenceKey(duty string, lane int) string {
	if lane == 0 {
		return PrefixWriteFence + duty
	}
	return fmt.Sprintf("%s%s/%d", PrefixWriteFence, duty, lane)
}

// WriteFence fences the writes of a lane of an owner. Each of them also rewrites this record,
// on the condition that its revision is still the one of the lane's previous write.
//
// Writes of a lane are thereby applied in order: one that arrives late fails, and so does one of a former owner.
type WriteFence struct {
	Epoch  uint64 `cbor:"epoch"`
	Name   string `cbor:"name"`
	Start  int64  `cbor:"start"`
	Number uint64 `cbor:"number"` // sequence number of the write within the epoch
}

// PrefixUsed is the key prefix of the records of the executors that the owner of a pool uses. The pool name follows.
const PrefixUsed = "teaselloft/used/"

// Used lists the executors on which the owner of a pool may have runs. An executor whose entry has expired while it was
// cut off from the store still runs its tasks, so the next owner needs to know it.
type Used struct {
	Executors []UsedExecutor `cbor:"executors"`
	Epoch     uint64         `cbor:"epoch,omitempty"`   // of the owner that wrote the record
	Waiting   bool           `cbor:"waiting,omitempty"` // that owner waited for the executors of one before it
	Handed    bool           `cbor:"handed,omitempty"`  // the record releases all executors for which that owner waited
	Partial   bool           `cbor:"partial,omitempty"` // that owner waited for executors that it could not name
	Lapse     int64          `cbor:"lapse,omitempty"`   // of the executors that it could not name, as in UsedExecutor
}

// IsReleased reports whether the record tells for every executor when its runs have ended.
func (u Used) IsReleased() bool {
	return u.Partial == (u.Lapse > 0) && !slices.ContainsFunc(u.Executors, func(x UsedExecutor) bool { return x.Lapse <= 0 })
}

// UsedExecutor is one incarnation of an executor.
//
// An executor is released if the record has a Lapse for it. The owner that wrote the record, and every later one, extends
// no lease and starts nothing there until it has stored a record without that Lapse.
type UsedExecutor struct {
	ID       string `cbor:"id"`
	Address  string `cbor:"address"`
	Instance string `cbor:"instance,omitempty"`
	Born     int64  `cbor:"born,omitempty"`  // start time in Unix milliseconds
	Lapse    int64  `cbor:"lapse,omitempty"` // milliseconds from the write of the record until all runs have ended; 0 if unknown
	Lease    int64  `cbor:"lease,omitempty"` // the same until leases have ended that calls for an earlier incarnation have asked for
	// Resumed is set if the executor came back after the owner may have replaced its runs by others.
	Resumed bool `cbor:"resumed,omitempty"`
}

// ErrRecord is wrapped by the errors about records whose content contradicts their key or cannot be used.
var ErrRecord = errors.New("invalid record")

// Validate returns an error unless the record describes the named member.
func (m Member) Validate(name string) error {
	if m.Name != name {
		return fmt.Errorf("%w: member is named %q, its key %q", ErrRecord, m.Name, name)
	}
	return validateAddress(m.Address)
}

// Validate returns an error unless the record describes the owner of the duty.
func (o Owner) Validate(duty string) error {
	if o.Duty != duty {
		return fmt.Errorf("%w: owner of duty %q, its key names %q", ErrRecord, o.Duty, duty)
	}
	return validateAddress(o.Address)
}

func validateAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrRecord, address, err)
	}
	return nil
}

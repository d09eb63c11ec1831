package cluster

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
	Epoch   uint64 `cbor:"epoch"` // increases with each change of owner; also the fencing token of the owner's orders
}

// WriteFence fences the writes of an owner. Each of them also rewrites this record,
// on the condition that its revision is still the one of the owner's previous write.
//
// Writes are thereby applied in order: one that arrives late fails, and so does one of a former owner.
type WriteFence struct {
	Epoch  uint64 `cbor:"epoch"`
	Name   string `cbor:"name"`
	Start  int64  `cbor:"start"`
	Number uint64 `cbor:"number"` // sequence number of the write within the epoch
}

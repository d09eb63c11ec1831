package tenure

// Keys of the daemons' own records in the store.
const (
	Prefix       = "teaselloft/own/"
	PrefixMember = Prefix + "member/"
	PrefixOwner  = Prefix + "owner/"
	PrefixChain  = "teaselloft/chain/" // apart from the others: every write of an owner changes it
)

// Fleet is the name of the duty that orders instances to move and to have their upkeep; pools have their own names.
const Fleet = "*fleet"

// Member is a live daemon; its key is bound to the daemon's lease.
type Member struct {
	Name    string `cbor:"name"`
	Address string `cbor:"address"` // for other daemons
	Zone    string `cbor:"zone"`
	Start   int64  `cbor:"start"` // Unix milliseconds; tells the lives of one name apart
	Leaving bool   `cbor:"leaving,omitempty"`
	Power   int    `cbor:"power,omitempty"` // thousandths of a core that it may use
}

// Owner says which daemon has a duty; the record outlives the daemon.
type Owner struct {
	Duty    string `cbor:"duty"`
	Name    string `cbor:"name"`
	Start   int64  `cbor:"start"`
	Address string `cbor:"address"`
	Epoch   uint64 `cbor:"epoch"` // rises with every owner; also the fencing token of its orders
}

// Chain is rewritten by each write of an owner, under the condition that nobody else has written it.
//
// Its revision orders the writes: one that arrives late fails, as does one of a former owner.
type Chain struct {
	Epoch  uint64 `cbor:"epoch"`
	Name   string `cbor:"name"`
	Start  int64  `cbor:"start"`
	Number uint64 `cbor:"number"` // of the write, within the epoch
}

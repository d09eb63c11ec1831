package preview

import (
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/site"
)

// Config is a configuration as operators write it. Unlike site.Config it holds the entries that daemons leave out, too.
type Config struct {
	Version     int64
	Queues      []Queue
	Pools       []Pool
	HasAccounts bool
	Accounts    []Account
	Limits      []Limit     // of what clients send; those that are not set are absent
	LimitFields []Attribute // all fields of the limits
	Other       []Attribute // fields that belong to none of the above
}

// Queue is an entry for a queue. Times are in milliseconds.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Pool     string
	Attempts int
	Stretch  float64
	Target   float64
	Timeout  float64 // of a caller's request; 0 if none is set
	Advice   Advice
	Fields   []Attribute
}

// Advice holds the times of the adviser of a queue in milliseconds.
type Advice struct{ Base, PerEntry, Valid float64 }

// Pool is an entry for a pool.
type Pool struct {
	Name    string
	Standby bool
	Fields  []Attribute
}

// Account is an entry for a client account.
type Account struct {
	Name    string
	Weight  int64
	Maximum job.Resources
	Keys    []site.KeyDigest // in the order of the entry; a key that is invalid has the zero digest
	Fields  []Attribute      // without the keys
}

// Limit is a limit of what clients send: HeaderBytes, BodyBytes, HeaderTimeout or IdleTimeout.
type Limit struct {
	Field Field
	Value float64
}

// Attribute is a field of an entry under its external name.
type Attribute struct {
	Name   string
	Value  string // canonical text
	Hidden bool   // the value may be secret and is only compared
}

// Kind is a kind of entry in a configuration.
type Kind int

// Kinds of entries.
const (
	KindConfig Kind = iota // the configuration itself
	KindQueue
	KindPool
	KindAccount
	KindLimits
)

// Entry identifies an entry of a configuration.
type Entry struct {
	Kind  Kind
	Index int // among the entries of its kind
	Name  string
	Path  string // host and prefix of a queue
}

// Field identifies a field of an entry.
type Field int

// Fields that findings are about. NoField stands for the entry as a whole.
const (
	NoField Field = iota
	Version
	Queues
	Pools
	Name
	Host
	Prefix
	PoolName
	Attempts
	Stretch
	Target
	Timeout
	AdviceBase
	AdvicePerEntry
	AdviceValid
	Keys
	Weight
	CPU
	Memory
	GPU
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
)

func (c Config) queueEntry(i int) Entry {
	q := c.Queues[i]
	return Entry{Kind: KindQueue, Index: i, Name: q.Name, Path: q.Host + q.Prefix}
}

func (c Config) poolEntry(i int) Entry {
	return Entry{Kind: KindPool, Index: i, Name: c.Pools[i].Name}
}

func (c Config) accountEntry(i int) Entry {
	return Entry{Kind: KindAccount, Index: i, Name: c.Accounts[i].Name}
}

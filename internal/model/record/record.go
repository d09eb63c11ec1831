package record

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Record is a value stored under one of the key prefixes.
//
//sumtype:decl
type Record interface {
	// Key returns the key, without the site prefix.
	Key() string
	sealed()
}

// Key prefixes, below "SITE/".
const (
	PrefixMember   = "member/"
	PrefixOwner    = "owner/"
	PrefixClaim    = "claim/"
	PrefixInstance = "instance/"
	PrefixBudget   = "budget/"
	PrefixWave     = "wave/"
	PrefixConfig   = "config/"
	KeyHead        = PrefixConfig + "head"
)

// Member is a live entry instance; its key is bound to the entry's lease.
type Member struct {
	Entry       string    `json:"entry"`
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`           // of the entry listener
	Operator    string    `json:"operator"`          // address of the operators' listener
	Config      uint64    `json:"config"`            // configuration version in force
	Since       time.Time `json:"since"`             // when that version came into force
	Leaving     bool      `json:"leaving,omitempty"` // stopping gracefully, takes over no service
}

// Owner says which entry instance dispatches a service; it outlives its owner.
type Owner struct {
	Service     string   `json:"service"`
	Entry       string   `json:"entry"`
	Incarnation string   `json:"incarnation"`
	Epoch       uint64   `json:"epoch"`
	Members     []string `json:"members"` // sorted entries at the takeover
	Absent      []Absent `json:"absent,omitempty"`
}

// Absent is a member of an earlier epoch that may still use the static share of that epoch.
type Absent struct {
	Entry   string   `json:"entry"`
	Members []string `json:"members"` // of that epoch's record
}

// Claim lists the non-idempotent requests of a service that may have run.
type Claim struct {
	Service  string    `json:"service"`
	Epoch    uint64    `json:"epoch"`
	Sequence uint64    `json:"sequence"` // rises with every write of an epoch
	Entries  []Claimed `json:"entries"`
	Segments []string  `json:"segments,omitempty"` // keys of older entries
}

// Segment holds older entries of a claim, so that each write of the claim stays small.
type Segment struct {
	Service string    `json:"service"`
	Number  uint64    `json:"number"`
	Entries []Claimed `json:"entries"`
}

// Claimed is one claimed idempotency key.
type Claimed struct {
	Hash    string `json:"hash"`
	Entry   string `json:"entry"`             // entry instance that sends it
	Request string `json:"request,omitempty"` // identifier of the request that holds the claim
	Time    int64  `json:"time"`              // Unix milliseconds
}

// InstanceState says whether an instance may get work.
type InstanceState string

// The states of an instance.
const (
	Serving   InstanceState = "serving"
	Draining  InstanceState = "draining"
	Rebooting InstanceState = "rebooting"
	Out       InstanceState = "out"
)

// Instance places one instance in exactly one pool.
type Instance struct {
	ID     string        `json:"id"`
	Pool   string        `json:"pool"`
	Target string        `json:"target,omitempty"` // pool it moves to once drained and rebooted
	State  InstanceState `json:"state"`
	Wave   string        `json:"wave,omitempty"`
	Reason string        `json:"reason,omitempty"`
	Since  time.Time     `json:"since"`
}

// Ledger lists the instances of a service that are out on purpose.
type Ledger struct {
	Service string   `json:"service"`
	Epoch   uint64   `json:"epoch"` // of the planner that wrote it
	Out     []string `json:"out"`

	// At holds the revision of each instance's record when it was entered. An instance starts to
	// drain at exactly that revision and leaves the ledger only at a later one, so that a delayed
	// write cannot take out an instance that the ledger no longer lists.
	At map[string]int64 `json:"at,omitempty"`
}

// Head names the configuration in force.
type Head struct {
	Version  uint64    `json:"version"`
	Change   string    `json:"change"`   // random id of the change that made it
	Snapshot string    `json:"snapshot"` // key of a whole configuration
	Deltas   []string  `json:"deltas"`   // keys of the merge patches since the snapshot
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Wave is a declared maintenance wave and its progress.
type Wave struct {
	ID        string                  `json:"id"`
	Pool      string                  `json:"pool,omitempty"`
	Zone      string                  `json:"zone,omitempty"`
	Rack      string                  `json:"rack,omitempty"`
	Instances []string                `json:"instances,omitempty"`
	Most      int                     `json:"most"` // instances out at a time
	By        time.Time               `json:"by"`
	Phase     WavePhase               `json:"phase"`
	Since     time.Time               `json:"since"` // when the phase began
	Progress  map[string]WaveProgress `json:"progress"`
}

// WavePhase is the phase of a whole wave.
type WavePhase string

// The phases of a wave.
const (
	Planned   WavePhase = "planned"
	Running   WavePhase = "running"
	Paused    WavePhase = "paused"
	Cancelled WavePhase = "cancelled"
	Stopped   WavePhase = "stopped" // by the rising failure rate
	Done      WavePhase = "done"
)

// WaveProgress is the progress of one instance in a wave.
type WaveProgress struct {
	Step   string    `json:"step"` // pending, draining, rebooting, returned or failed
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// Key returns the member's key.
func (m Member) Key() string { return PrefixMember + m.Entry }

// Key returns the owner's key.
func (o Owner) Key() string { return PrefixOwner + o.Service }

// Key returns the claim's key.
func (c Claim) Key() string { return PrefixClaim + c.Service }

// Key returns the segment's key.
func (s Segment) Key() string { return fmt.Sprintf("%s%s/%d", PrefixClaim, s.Service, s.Number) }

// Key returns the instance's key.
func (i Instance) Key() string { return PrefixInstance + i.ID }

// Key returns the ledger's key.
func (l Ledger) Key() string { return PrefixBudget + l.Service }

// Key returns the head's key.
func (Head) Key() string { return KeyHead }

// Key returns the wave's key.
func (w Wave) Key() string { return PrefixWave + w.ID }

func (Member) sealed()   {}
func (Owner) sealed()    {}
func (Claim) sealed()    {}
func (Segment) sealed()  {}
func (Instance) sealed() {}
func (Ledger) sealed()   {}
func (Head) sealed()     {}
func (Wave) sealed()     {}

// WithOut returns a copy that lists the instance, whose record has the given revision.
func (l Ledger) WithOut(id string, revision int64) Ledger {
	l = l.WithoutOut(id)
	l.Out = append(l.Out, id)
	slices.Sort(l.Out)
	l.At[id] = revision
	return l
}

// WithoutOut returns a copy that does not list the instance.
func (l Ledger) WithoutOut(id string) Ledger {
	at := make(map[string]int64, len(l.At)+1)
	maps.Copy(at, l.At)
	delete(at, id)
	l.At = at
	l.Out = slices.DeleteFunc(slices.Clone(l.Out), func(o string) bool { return o == id })
	return l
}

// WithEpoch returns a copy written by the planner of the given epoch.
func (l Ledger) WithEpoch(epoch uint64) Ledger {
	l.Epoch = epoch
	return l
}

// WithPhase returns a copy in the given phase since t.
func (w Wave) WithPhase(p WavePhase, t time.Time) Wave {
	w.Phase = p
	w.Since = t
	return w
}

// WithProgress returns a copy with the given progress.
func (w Wave) WithProgress(p map[string]WaveProgress) Wave {
	w.Progress = p
	return w
}

// WithWave returns a copy that the wave maintains or maintained last, with the reason for its state.
func (i Instance) WithWave(wave, reason string) Instance {
	i.Wave = wave
	i.Reason = reason
	return i
}

// WithConfig returns a copy with the configuration version in force since t.
func (m Member) WithConfig(version uint64, t time.Time) Member {
	m.Config = version
	m.Since = t
	return m
}

// WithState returns a copy in the given state since t.
func (i Instance) WithState(s InstanceState, t time.Time) Instance {
	i.State = s
	i.Since = t
	return i
}

// WithPool returns a copy placed in the pool, with no move pending.
func (i Instance) WithPool(pool string) Instance {
	i.Pool = pool
	i.Target = ""
	return i
}

// WithTarget returns a copy that moves to the pool once drained.
func (i Instance) WithTarget(pool string) Instance {
	i.Target = pool
	return i
}

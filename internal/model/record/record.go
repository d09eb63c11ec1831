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
	PrefixClaim    = "claim/" // Claim and ClaimSegment
	PrefixInstance = "instance/"
	PrefixBudget   = "budget/" // Ledger
	PrefixWave     = "wave/"
	PrefixConfig   = "config/"
	KeyConfigHead  = PrefixConfig + "head"
)

// Member is a live entry instance. Its key is bound to the entry instance's lease.
type Member struct {
	Entry       string    `json:"entry"`
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`           // address of the entry listener
	Operator    string    `json:"operator"`          // address of the operator listener
	Config      uint64    `json:"config"`            // active configuration version
	Since       time.Time `json:"since"`             // activation time of that version
	Leaving     bool      `json:"leaving,omitempty"` // shutting down gracefully; takes over no service
}

// Owner records which entry instance dispatches a service. The record remains after its owner has stopped.
type Owner struct {
	Service     string         `json:"service"`
	Entry       string         `json:"entry"`
	Incarnation string         `json:"incarnation"`
	Epoch       uint64         `json:"epoch"`
	Members     []string       `json:"members"`          // entry instances at the time of the takeover, sorted
	Absent      []AbsentMember `json:"absent,omitempty"` // members of earlier epochs
}

// AbsentMember is a member of an earlier epoch that may still use its static share of that epoch: the executor slots
// that it may use without grants while there is no owner.
type AbsentMember struct {
	Entry   string   `json:"entry"`
	Members []string `json:"members"` // Members of that epoch's Owner record, among which the slots were divided
}

// Claim lists the idempotency keys of a service's non-idempotent requests that may have run.
type Claim struct {
	Service  string       `json:"service"`
	Epoch    uint64       `json:"epoch"`
	Sequence uint64       `json:"sequence"` // increases with every write within an epoch
	Entries  []ClaimEntry `json:"entries"`
	Segments []string     `json:"segments,omitempty"` // keys of the segments with older entries
}

// ClaimSegment holds older entries of a claim, which keeps the writes of the claim small.
type ClaimSegment struct {
	Service string       `json:"service"`
	Number  uint64       `json:"number"` // unique among the segments of the service
	Entries []ClaimEntry `json:"entries"`
}

// ClaimEntry is a claimed idempotency key.
type ClaimEntry struct {
	Hash    string `json:"hash"`              // hash of the idempotency key
	Entry   string `json:"entry"`             // entry instance that sends the request
	Request string `json:"request,omitempty"` // ID of the request that holds the claim
	Time    int64  `json:"time"`              // Unix milliseconds
}

// InstanceState determines whether an instance may receive requests.
type InstanceState string

// States of an instance.
const (
	Serving   InstanceState = "serving"
	Draining  InstanceState = "draining"
	Rebooting InstanceState = "rebooting"
	Out       InstanceState = "out" // failed: not live in time after its reboot
)

// Instance assigns an instance to exactly one pool and holds its state.
type Instance struct {
	ID     string        `json:"id"`
	Pool   string        `json:"pool"`
	Target string        `json:"target,omitempty"` // pool to which it moves after drain and reboot
	State  InstanceState `json:"state"`
	Wave   string        `json:"wave,omitempty"`   // wave that maintains it or did so last
	Reason string        `json:"reason,omitempty"` // reason for the state
	Since  time.Time     `json:"since"`            // start of the state
}

// Ledger lists the instances of a service that are deliberately out of service.
type Ledger struct {
	Service string   `json:"service"`
	Epoch   uint64   `json:"epoch"` // of the planner that wrote it
	Out     []string `json:"out"`

	// At holds the revision of each instance's record at the time the instance was listed. Draining starts by
	// a compare-and-swap at exactly that revision, and the instance is removed from the ledger only at a later
	// one. A delayed write therefore cannot take out an instance that the ledger no longer lists.
	At map[string]int64 `json:"at,omitempty"`
}

// ConfigHead refers to the active configuration.
type ConfigHead struct {
	Version  uint64    `json:"version"`
	Change   string    `json:"change"`   // random ID of the change that created the version
	Snapshot string    `json:"snapshot"` // key of a complete configuration
	Deltas   []string  `json:"deltas"`   // keys of the merge patches to apply to the snapshot
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Wave is a declared maintenance wave, which drains and reboots instances, and its progress.
//
// It covers the instances that match all of Pool, Zone, Rack and Instances; an empty one matches every instance.
type Wave struct {
	ID             string                  `json:"id"`
	Pool           string                  `json:"pool,omitempty"`
	Zone           string                  `json:"zone,omitempty"`
	Rack           string                  `json:"rack,omitempty"`
	Instances      []string                `json:"instances,omitempty"`
	MaxUnavailable int                     `json:"most"` // maximum number of instances that are out at the same time
	Deadline       time.Time               `json:"by"`   // when the wave should be done
	Phase          WavePhase               `json:"phase"`
	Since          time.Time               `json:"since"` // start of the phase
	Progress       map[string]WaveProgress `json:"progress"`
}

// WavePhase is the phase of a whole wave.
type WavePhase string

// Phases of a wave.
const (
	Planned   WavePhase = "planned"
	Running   WavePhase = "running"
	Paused    WavePhase = "paused"
	Cancelled WavePhase = "cancelled"
	Stopped   WavePhase = "stopped" // because of a rising failure rate
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
func (s ClaimSegment) Key() string { return fmt.Sprintf("%s%s/%d", PrefixClaim, s.Service, s.Number) }

// Key returns the instance's key.
func (i Instance) Key() string { return PrefixInstance + i.ID }

// Key returns the ledger's key.
func (l Ledger) Key() string { return PrefixBudget + l.Service }

// Key returns the head's key.
func (ConfigHead) Key() string { return KeyConfigHead }

// Key returns the wave's key.
func (w Wave) Key() string { return PrefixWave + w.ID }

func (Member) sealed()       {}
func (Owner) sealed()        {}
func (Claim) sealed()        {}
func (ClaimSegment) sealed() {}
func (Instance) sealed()     {}
func (Ledger) sealed()       {}
func (ConfigHead) sealed()   {}
func (Wave) sealed()         {}

// WithInstance returns a copy that lists the instance with the given revision of its record.
func (l Ledger) WithInstance(id string, revision int64) Ledger {
	l = l.WithoutInstance(id)
	l.Out = append(l.Out, id)
	slices.Sort(l.Out)
	l.At[id] = revision
	return l
}

// WithoutInstance returns a copy that does not list the instance.
func (l Ledger) WithoutInstance(id string) Ledger {
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

// WithPhase returns a copy in the given phase, started at t.
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

// WithWave returns a copy with the wave that maintains it or did so last, and the reason for its state.
func (i Instance) WithWave(wave, reason string) Instance {
	i.Wave = wave
	i.Reason = reason
	return i
}

// WithConfig returns a copy with the given configuration version, active since t.
func (m Member) WithConfig(version uint64, t time.Time) Member {
	m.Config = version
	m.Since = t
	return m
}

// WithState returns a copy in the given state, entered at t.
func (i Instance) WithState(s InstanceState, t time.Time) Instance {
	i.State = s
	i.Since = t
	return i
}

// WithPool returns a copy assigned to the pool, with no pending move.
func (i Instance) WithPool(pool string) Instance {
	i.Pool = pool
	i.Target = ""
	return i
}

// WithTarget returns a copy that moves to the pool after it has drained and rebooted.
func (i Instance) WithTarget(pool string) Instance {
	i.Target = pool
	return i
}

package platform

import "time"

// Kind groups calls that are counted and limited together.
type Kind string

// The kinds of calls.
const (
	KindRange     Kind = "range"
	KindTxn       Kind = "txn"
	KindGrant     Kind = "grant"
	KindKeepAlive Kind = "keepalive"
	KindRevoke    Kind = "revoke"
	KindWatch     Kind = "watch"
	KindList      Kind = "list"
	KindHeartbeat Kind = "heartbeat"
)

// Writes says whether calls of the kind change the store; keep-alives are counted as writes, the stricter choice.
func (k Kind) Writes() bool {
	return k == KindTxn || k == KindGrant || k == KindKeepAlive || k == KindRevoke
}

// Listing says whether calls of the kind belong to the instance list, which is not rate limited.
func (k Kind) Listing() bool {
	return k == KindList || k == KindHeartbeat
}

// Control is the body of POST /control; a missing field leaves its setting as it is.
type Control struct {
	Outage     *bool    `json:"outage,omitempty"`      // close connections to the store without an answer
	ListOutage *bool    `json:"list_outage,omitempty"` // the same for the instance list
	Slow       *int     `json:"slow,omitempty"`        // ms before a call takes effect, even if its caller left
	Lose       *float64 `json:"lose,omitempty"`        // share of write answers dropped after the write took effect
	LoseNext   *int     `json:"lose_next,omitempty"`   // number of next transactions whose answers are dropped
	Writes     *int     `json:"writes,omitempty"`      // limit a second
	Reads      *int     `json:"reads,omitempty"`       // limit a second
	Lag        *int     `json:"lag,omitempty"`         // ms
	Compact    bool     `json:"compact,omitempty"`     // forget the whole watch history
	Break      bool     `json:"break,omitempty"`       // close every open watch
}

// Faults are the faults in force.
type Faults struct {
	Outage     bool
	ListOutage bool
	Slow       time.Duration
	Lose       float64
	LoseNext   int
}

// Verdict says what happens to a call.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Serve serves a call after a delay; Lose drops the answer.
type Serve struct {
	Delay time.Duration
	Lose  bool
}

// Drop closes the connection without an answer.
type Drop struct{}

// Limit refuses the call because of the rate limit.
type Limit struct{}

func (Serve) verdict() {}
func (Drop) verdict()  {}
func (Limit) verdict() {}

// WithControl returns a copy with the fields that c sets.
func (f Faults) WithControl(c Control) Faults {
	if c.Outage != nil {
		f.Outage = *c.Outage
	}
	if c.ListOutage != nil {
		f.ListOutage = *c.ListOutage
	}
	if c.Slow != nil {
		f.Slow = time.Duration(*c.Slow) * time.Millisecond
	}
	if c.Lose != nil {
		f.Lose = *c.Lose
	}
	if c.LoseNext != nil {
		f.LoseNext = *c.LoseNext
	}
	return f
}

// Admit decides on a call; within says that the rate limit has room, random is in [0, 1).
func (f Faults) Admit(k Kind, within bool, random float64) (Faults, Verdict) {
	if k.Listing() {
		if f.ListOutage {
			return f, Drop{}
		}
		return f, Serve{}
	}
	if f.Outage {
		return f, Drop{}
	}
	if !within {
		return f, Limit{}
	}
	lose := k.Writes() && random < f.Lose
	if k == KindTxn && f.LoseNext > 0 {
		f.LoseNext--
		lose = true
	}
	return f, Serve{Delay: f.Slow, Lose: lose}
}

package port

import "time"

// RefusalReason tells why a request was refused before its job was looked at.
type RefusalReason string

// Reasons, as state dumps and log lines show them. The first three come with ErrUnauthorized, the last with ErrStaleConfig.
const (
	RefusalMissingKey  RefusalReason = "missing-key"
	RefusalUnknownKey  RefusalReason = "unknown-key"
	RefusalRemovedKey  RefusalReason = "removed-key" // an earlier configuration had the key
	RefusalStaleConfig RefusalReason = "stale-config"
)

// Refusals is the part of a state dump about requests that a daemon has refused for the same reason.
type Refusals struct {
	Account string        `json:"account"` // empty if it is not known
	Queue   string        `json:"queue"`
	Reason  RefusalReason `json:"reason"`
	Count   int64         `json:"count"` // since the start of the daemon
	Age     time.Duration `json:"age"`   // of the last one
}

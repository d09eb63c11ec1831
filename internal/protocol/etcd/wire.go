package etcd

// URL paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// MaxValueSize is the largest value that the store accepts, in bytes.
const MaxValueSize = 1 << 20

// Enum values of a Compare and an Event.
const (
	TargetModRevision = "MOD"
	ResultEqual       = "EQUAL"
	EventPut          = "PUT"
	EventDelete       = "DELETE"
)

// The gRPC status codes of an ErrorResponse.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"` // of the store
}

// KeyValue is a key with its value; the JSON encoding of both is base64.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone when RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest; More reports that the limit truncated it.
type RangeResponse struct {
	Header Header     `json:"header"`
	Pairs  []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// TxnRequest applies the Success operations if every Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// Compare compares the modification revision of a key, which is 0 for a missing key.
type Compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Operation is a put or a delete.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// PutRequest writes a key and attaches it to a lease unless Lease is 0.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// TxnResponse is the response to a TxnRequest; Succeeded reports whether every Compare held.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// GrantRequest asks for a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseResponse is the response to a grant and, inside KeepAliveResponse, to a keep-alive.
//
// TTL is in seconds; 0 means that the lease does not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRequest identifies a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is the only element of a keep-alive's response stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// RevokeResponse is the response to the revocation of a lease.
type RevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch and the first revision to deliver.
//
// ProgressNotify requests periodic messages without events.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is an element of a watch stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *ErrorResponse `json:"error,omitempty"`
}

// WatchResponse delivers events; one without events confirms the delivery of every event up to the header's revision.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is a change of a key; Type is empty for a put, since the gateway omits default values.
type Event struct {
	Type string   `json:"type,omitempty"`
	Pair KeyValue `json:"kv"`
}

// ErrorResponse is the body of an unsuccessful response.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

package etcd

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// MaxValue is the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// Enumeration values of a transaction's compare and of events.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	EventPut    = "PUT"
	EventDelete = "DELETE"
)

// The codes of a Failure, from gRPC.
const (
	CodeInvalid     = 3
	CodeNotFound    = 5
	CodeExhausted   = 8
	CodeOutOfRange  = 11
	CodeUnavailable = 14
)

// Header comes with every answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"` // of the whole store
}

// KeyValue is a key with its value; the JSON encoding of both is base64.
type KeyValue struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Created  int64  `json:"create_revision,string,omitempty"`
	Modified int64  `json:"mod_revision,string,omitempty"`
	Version  int64  `json:"version,string,omitempty"`
	Lease    int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to but not including End, or Key alone when End is empty.
type RangeRequest struct {
	Key   []byte `json:"key"`
	End   []byte `json:"range_end,omitempty"`
	Limit int64  `json:"limit,string,omitempty"`
}

// RangeResponse answers a RangeRequest; More says that the limit cut it short.
type RangeResponse struct {
	Header Header     `json:"header"`
	Pairs  []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// TxnRequest runs Success if every Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// Compare compares the modification revision of a key, which is 0 for a missing key.
type Compare struct {
	Target   string `json:"target"`
	Result   string `json:"result"`
	Key      []byte `json:"key"`
	Modified int64  `json:"mod_revision,string"`
}

// Operation is a put or a delete.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// PutRequest writes a key and binds it to a lease unless Lease is 0.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// GrantRequest asks for a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseResponse answers a grant and, inside KeepAliveResponse, a keep-alive; TTL 0 means that the lease is gone.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRequest names a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is the one element of the stream that answers a keep-alive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// RevokeResponse answers the revocation of a lease.
type RevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate describes the keys to watch and the first revision to deliver; Progress asks for regular empty messages.
type WatchCreate struct {
	Key      []byte `json:"key"`
	End      []byte `json:"range_end,omitempty"`
	Start    int64  `json:"start_revision,string,omitempty"`
	Progress bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is one element of a watch stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Failure       `json:"error,omitempty"`
}

// WatchResponse brings events; one without events says that every event up to the header's revision was delivered.
type WatchResponse struct {
	Header    Header  `json:"header"`
	Created   bool    `json:"created,omitempty"`
	Canceled  bool    `json:"canceled,omitempty"`
	Compacted int64   `json:"compact_revision,string,omitempty"`
	Events    []Event `json:"events,omitempty"`
}

// Event is a change of a key; Type is empty for a put, as the gateway omits default values.
type Event struct {
	Type string   `json:"type,omitempty"`
	Pair KeyValue `json:"kv"`
}

// Failure is the body of an unsuccessful answer.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

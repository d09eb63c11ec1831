package entry

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/message"

	"github.com/fxamacker/cbor/v2"
)

var (
	// ErrMalformed means that bytes are not a frame.
	ErrMalformed = errors.New("malformed frame")
	// ErrUnknownKind means that a frame has a kind that this version does not know.
	ErrUnknownKind = errors.New("unknown kind of frame")
	// ErrOversized means that a frame is longer than 64 KB.
	ErrOversized = errors.New("frame is too long")
)

// Bounds on the structure of a received frame.
const (
	maxNested   = 8
	maxElements = 8 << 10
	maxPairs    = 1 << 10
)

var encoder, decoder = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

// envelope is the outer form of every frame.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

// kinds is the table from a frame's kind to its decoding.
var kinds = map[string]func(body []byte, now time.Time) (message.Frame, error){
	"ask":      decodeAsk,
	"grant":    decodeAs[message.Grant],
	"deny":     decodeAs[message.Deny],
	"release":  decodeAs[message.Release],
	"withdraw": decodeAs[message.Withdraw],
	"gather":   decodeAs[message.GatherGrants],
	"holding":  decodeAs[message.HeldGrants],
	"cleared":  decodeAs[message.EpochCleared],
	"fetch":    decodeAs[message.FetchAnswer],
	"stored":   decodeAs[message.StoredAnswer],
	"resync":   decodeAs[message.Resync],
	"backup":   decodeAs[message.BackupGrant],
	"forget":   decodeAs[message.DropBackup],
	"inquire":  decodeAs[message.LoadRequest],
	"report":   decodeAs[message.LoadReport],
}

// Encode returns the bytes of a frame sent at the given time; it wraps ErrOversized.
func Encode(f message.Frame, now time.Time) ([]byte, error) {
	kind, body := form(f, now)
	data, err := encode(kind, body)
	if err != nil {
		return nil, err
	}
	if len(data) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes of kind %q", ErrOversized, len(data), kind)
	}
	return data, nil
}

// Decode returns the frame in bytes received at the given time; it wraps ErrMalformed, ErrUnknownKind or ErrOversized.
func Decode(data []byte, now time.Time) (message.Frame, error) {
	if len(data) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversized, len(data))
	}
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	decode, ok := kinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, e.Kind)
	}
	return decode(e.Body, now)
}

// form returns a frame's kind and the value that is encoded for it.
func form(f message.Frame, now time.Time) (kind string, body any) {
	switch f := f.(type) {
	case message.GrantRequest:
		return "ask", askForm(f, now)
	case message.Grant:
		return "grant", f
	case message.Deny:
		return "deny", f
	case message.Release:
		return "release", f
	case message.Withdraw:
		return "withdraw", f
	case message.GatherGrants:
		return "gather", f
	case message.HeldGrants:
		return "holding", f
	case message.EpochCleared:
		return "cleared", f
	case message.FetchAnswer:
		return "fetch", f
	case message.StoredAnswer:
		return "stored", f
	case message.Resync:
		return "resync", f
	case message.BackupGrant:
		return "backup", f
	case message.DropBackup:
		return "forget", f
	case message.LoadRequest:
		return "inquire", f
	case message.LoadReport:
		return "report", f
	default:
		panic(fmt.Sprintf("entry: frame %T has no kind", f))
	}
}

func encode(kind string, body any) ([]byte, error) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode frame of kind %q: %w", kind, err)
	}
	data, err := encoder.Marshal(envelope{Kind: kind, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("encode frame of kind %q: %w", kind, err)
	}
	return data, nil
}

func decodeAs[T message.Frame](body []byte, _ time.Time) (message.Frame, error) {
	var f T
	if err := decoder.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return f, nil
}

// ask is the encoded form of message.GrantRequest: clocks are not synchronized, so times go as durations.
type ask struct {
	Request message.Request // its times are zero
	Waited  time.Duration   // since the request arrived
	Left    time.Duration   // until its deadline
	Exclude []string
}

func askForm(f message.GrantRequest, now time.Time) ask {
	a := ask{Request: f.Request, Left: f.Left, Exclude: f.Exclude}
	if !f.Request.Arrived.IsZero() {
		a.Waited = now.Sub(f.Request.Arrived)
	}
	if !f.Request.Deadline.IsZero() {
		// The time that the frame waited for its link has passed as well.
		a.Left = f.Request.Deadline.Sub(now)
	}
	a.Request.Arrived, a.Request.Deadline = time.Time{}, time.Time{}
	return a
}

func decodeAsk(body []byte, now time.Time) (message.Frame, error) {
	var a ask
	if err := decoder.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	a.Request.Arrived = now.Add(-a.Waited)
	a.Request.Deadline = now.Add(a.Left)
	return message.GrantRequest{Request: a.Request, Left: a.Left, Exclude: a.Exclude}, nil
}

// kindHello is the kind of the first frame of each direction of a link.
const kindHello = "hello"

// hello names the two ends of a link.
type hello struct {
	Entry       string
	Incarnation string
	Peer        string // whom the sender means to reach
	Target      string // incarnation of the peer
}

func encodeHello(h hello) ([]byte, error) {
	return encode(kindHello, h)
}

func decodeHello(data []byte) (hello, error) {
	var e envelope
	var h hello
	if err := decoder.Unmarshal(data, &e); err != nil {
		return h, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if e.Kind != kindHello {
		return h, fmt.Errorf("%w: %q instead of a hello", ErrUnknownKind, e.Kind)
	}
	if err := decoder.Unmarshal(e.Body, &h); err != nil {
		return h, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return h, nil
}

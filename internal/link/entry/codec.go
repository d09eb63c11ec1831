package entry

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/message"

	"github.com/fxamacker/cbor/v2"
)

var (
	// ErrMalformed means that the bytes are not a valid frame.
	ErrMalformed = errors.New("malformed frame")
	// ErrUnknownKind means that this version does not know the kind of a frame.
	ErrUnknownKind = errors.New("unknown kind of frame")
	// ErrOversized means that a frame is longer than 64 KiB.
	ErrOversized = errors.New("frame is too long")
)

// Limits on the CBOR structure of a received frame.
const (
	maxNested   = 8
	maxElements = 8 << 10
	maxPairs    = 1 << 10
)

var encoder, decoder = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
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

// envelope is the encoding of every frame: its kind and its encoded body.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

// decoders maps the kind of a frame to the function that decodes its body.
var decoders = map[string]func(body []byte, now time.Time) (message.Frame, error){
	"ask":      decodeGrantRequest,
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

// Encode returns the encoding of a frame that is sent at now. The error wraps ErrOversized if the frame is too long.
func Encode(f message.Frame, now time.Time) ([]byte, error) {
	kind, body := toWire(f, now)
	data, err := encode(kind, body)
	if err != nil {
		return nil, err
	}
	if len(data) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes of kind %q", ErrOversized, len(data), kind)
	}
	return data, nil
}

// Decode returns the frame that was received at now. Its errors wrap ErrMalformed, ErrUnknownKind or ErrOversized.
func Decode(data []byte, now time.Time) (message.Frame, error) {
	if len(data) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversized, len(data))
	}
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	decode, ok := decoders[e.Kind]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, e.Kind)
	}
	return decode(e.Body, now)
}

// toWire returns a frame's kind and the value that is encoded as its body.
func toWire(f message.Frame, now time.Time) (kind string, body any) {
	switch f := f.(type) {
	case message.GrantRequest:
		return "ask", toWireGrantRequest(f, now)
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

// wireGrantRequest is the encoding of message.GrantRequest. The clocks of entry instances are not synchronized,
// so times are sent as durations.
type wireGrantRequest struct {
	Request message.Request // with zero times
	Waited  time.Duration   // time since the request arrived
	Left    time.Duration   // time until its deadline
	Exclude []string
}

func toWireGrantRequest(f message.GrantRequest, now time.Time) wireGrantRequest {
	w := wireGrantRequest{Request: f.Request, Left: f.Left, Exclude: f.Exclude}
	if !f.Request.Arrived.IsZero() {
		w.Waited = now.Sub(f.Request.Arrived)
	}
	if !f.Request.Deadline.IsZero() {
		// f.Left was set when the frame was made; the time that it then waited for its link has passed as well.
		w.Left = f.Request.Deadline.Sub(now)
	}
	w.Request.Arrived, w.Request.Deadline = time.Time{}, time.Time{}
	return w
}

func decodeGrantRequest(body []byte, now time.Time) (message.Frame, error) {
	var w wireGrantRequest
	if err := decoder.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	w.Request.Arrived = now.Add(-w.Waited)
	w.Request.Deadline = now.Add(w.Left)
	return message.GrantRequest{Request: w.Request, Left: w.Left, Exclude: w.Exclude}, nil
}

// kindHello is the kind of the first frame of each direction of a link.
const kindHello = "hello"

// hello identifies the two ends of a link.
type hello struct {
	Entry       string
	Incarnation string
	Peer        string // entry instance that the sender expects at the other end
	Target      string // incarnation of Peer that the sender expects
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
		return h, fmt.Errorf("%w: got %q, want hello", ErrUnknownKind, e.Kind)
	}
	if err := decoder.Unmarshal(e.Body, &h); err != nil {
		return h, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return h, nil
}

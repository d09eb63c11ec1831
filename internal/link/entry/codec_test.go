package entry_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"teaselloft/internal/link/entry"
	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

var sampleID = message.ID{Entry: "a", Incarnation: "1", Sequence: 7}

// samples holds one frame each of most kinds.
var samples = []message.Frame{
	message.GrantRequest{
		Request: message.Request{
			ID: sampleID, Name: "flag-calender", Service: "flag-calendar", Method: "POST", Path: "/declare?x", Fleet: "halyard",
			Caller: "10.0.0.1", Key: "k", Class: message.Background, Zone: "z",
		},
		Left: 3 * time.Second, Exclude: []string{"cal-1"},
	},
	message.Grant{ID: sampleID, Service: "s", Epoch: 3, Executor: message.Executor{ID: "e", Address: "127.0.0.1:1", Zone: "z"}},
	message.Deny{ID: sampleID, Service: "s", Epoch: 3, Holder: "b", Refusal: message.Refusal{
		Reason: message.ReasonOverload, Detail: "d", Candidates: []string{"x"}, RetryAfter: time.Second,
	}},
	message.Release{ID: sampleID, Service: "s", Epoch: 3, Executor: "e", Outcome: message.Unknown, RunTime: time.Millisecond},
	message.Withdraw{ID: sampleID, Service: "s"},
	message.GatherGrants{Service: "s", Epoch: 1 << 63},
	message.HeldGrants{Service: "s", Epoch: 3, Grants: []message.HeldGrant{{ID: sampleID, Executor: "e", Left: time.Second, Key: "k"}}},
	message.EpochCleared{Service: "s", Epoch: 3},
	message.FetchAnswer{ID: sampleID, Service: "s", Key: "k"},
	message.StoredAnswer{ID: sampleID, Found: true, Answer: message.Answer{
		Status: 201, Header: map[string][]string{"Etag": {"x", "y"}}, Body: []byte{0, 0xff},
	}},
	message.LoadRequest{Service: "s"},
	message.LoadReport{Service: "s", Loads: map[string]int{"e": 8}},
}

// Guards against frames that are changed by encoding and decoding.
func TestFramesRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	for _, f := range samples {
		data, err := entry.Encode(f, now)
		c.Assert(err, qt.IsNil)
		got, err := entry.Decode(data, now)
		c.Assert(err, qt.IsNil)
		if r, ok := f.(message.GrantRequest); ok {
			r.Request.Arrived, r.Request.Deadline = now, now.Add(r.Left)
			f = r
		}
		c.Check(got, qt.DeepEquals, f)
	}
}

// Guards against arrival times and deadlines that depend on the clock of another entry instance.
func TestGrantRequestRebuildsTimes(t *testing.T) {
	c := qt.New(t)
	sender := time.Unix(1000, 0)
	receiver := time.Unix(90000, 0) // its clock is about a day ahead
	f := message.GrantRequest{
		Request: message.Request{ID: sampleID, Arrived: sender.Add(-2 * time.Second), Deadline: sender.Add(8 * time.Second)},
		Left:    9 * time.Second, // when the frame was made, a second before it is written
	}
	data, err := entry.Encode(f, sender)
	c.Assert(err, qt.IsNil)
	got, err := entry.Decode(data, receiver)
	c.Assert(err, qt.IsNil)
	r := got.(message.GrantRequest)
	c.Check(r.Left, qt.Equals, 8*time.Second)
	c.Check(r.Request.Deadline.Equal(receiver.Add(8*time.Second)), qt.IsTrue)
	c.Check(r.Request.Arrived.Equal(receiver.Add(-2*time.Second)), qt.IsTrue)
}

// envelope is the encoding of a frame.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body any
}

func marshal(c *qt.C, v any) []byte {
	data, err := cbor.Marshal(v)
	c.Assert(err, qt.IsNil)
	return data
}

// Guards against invalid bytes that are accepted as a frame, or that make the decoder allocate more than the frame's size.
func TestDecodeRejectsInvalidFrames(t *testing.T) {
	c := qt.New(t)
	valid, err := entry.Encode(samples[5], time.Now())
	c.Assert(err, qt.IsNil)
	array := append([]byte{0x82, 0x67}, "holding"...)
	array = append(array, 0xa1, 0x66)
	array = append(array, "Grants"...)
	array = binary.BigEndian.AppendUint32(append(array, 0x9a), 1<<31) // announces 2^31 elements
	for name, test := range map[string]struct {
		data []byte
		want error
	}{
		"empty":          {nil, entry.ErrMalformed},
		"text":           {[]byte("{}"), entry.ErrMalformed},
		"trailing":       {append(bytes.Clone(valid), 0), entry.ErrMalformed},
		"cut":            {valid[:len(valid)-1], entry.ErrMalformed},
		"wrong body":     {marshal(c, envelope{Kind: "gather", Body: []int{1}}), entry.ErrMalformed},
		"wrong field":    {marshal(c, envelope{Kind: "gather", Body: map[string]any{"Epoch": "x"}}), entry.ErrMalformed},
		"negative epoch": {marshal(c, envelope{Kind: "gather", Body: map[string]any{"Epoch": -1}}), entry.ErrMalformed},
		"unknown kind":   {marshal(c, envelope{Kind: "other", Body: map[string]any{}}), entry.ErrUnknownKind},
		"huge array":     {array, entry.ErrMalformed},
		"oversized":      {make([]byte, 64<<10+1), entry.ErrOversized},
	} {
		f, err := entry.Decode(test.data, time.Now())
		c.Check(err, qt.ErrorIs, test.want, qt.Commentf("%s: %v", name, f))
	}
}

// Guards against a decoder that panics or returns a frame that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		data, err := entry.Encode(s, time.Now())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkDecode(qt.New(t), data) })
}

// Runs the check of FuzzDecode on 20000 mutated frames as an ordinary test.
func TestDecodeMutatedFrames(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		data, err := entry.Encode(samples[random.IntN(len(samples))], time.Now())
		c.Assert(err, qt.IsNil)
		for range 1 + random.IntN(4) {
			i := random.IntN(len(data))
			switch random.IntN(3) {
			case 0:
				data[i] = byte(random.Uint32())
			case 1:
				data = append(data[:i:i], data[i+1:]...)
			default:
				data = append(data[:i:i], append([]byte{byte(random.Uint32())}, data[i:]...)...)
			}
			if len(data) == 0 {
				break
			}
		}
		checkDecode(c, data)
	}
}

func checkDecode(c *qt.C, data []byte) {
	now := time.Now()
	frame, err := entry.Decode(data, now)
	if err != nil {
		known := errors.Is(err, entry.ErrMalformed) || errors.Is(err, entry.ErrUnknownKind) || errors.Is(err, entry.ErrOversized)
		c.Assert(known, qt.IsTrue, qt.Commentf("%v", err))
		return
	}
	again, err := entry.Encode(frame, now)
	if errors.Is(err, entry.ErrOversized) {
		return
	}
	c.Assert(err, qt.IsNil)
	same, err := entry.Decode(again, now)
	c.Assert(err, qt.IsNil)
	if _, ok := frame.(message.GrantRequest); !ok { // durations that overflow are not restored
		c.Assert(same, qt.DeepEquals, frame)
	}
}

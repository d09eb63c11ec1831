package forward

import (
	"time"

	"github.com/benbjohnson/immutable"

	"teaselloft/internal/model/message"
)

// Limits of the idempotency keys and answers that an entry instance stores.
const (
	KeyRetention    = time.Hour        // the same as the retention of a claim
	AnswerRetention = 10 * time.Minute // not enforced: an answer is stored as long as its key
	MaxKeys         = 65536
	MaxAnswerBytes  = 8 << 20 // total size of the stored bodies
)

// Keys is an immutable table of the idempotency keys of the non-idempotent requests that this entry instance
// accepted, with their answers.
//
// A further request with a key in the table gets the stored answer or is refused without a grant request. An owner may
// therefore grant a claimed key again to the entry instance whose request claimed it.
type Keys struct {
	entries     *immutable.Map[string, keyEntry]
	order       *immutable.List[insertion] // oldest first
	answerBytes int                        // total size of the stored bodies
}

// keyEntry holds the request that was accepted with a key.
type keyEntry struct {
	id     message.ID
	answer *message.Answer // nil until the request is answered
}

type insertion struct {
	key  string
	time time.Time
}

// NewKeys returns an empty table.
func NewKeys() Keys {
	return Keys{entries: immutable.NewMap[string, keyEntry](nil), order: immutable.NewList[insertion]()}
}

// Full reports whether no key can be added before an older one expires.
func (k Keys) Full() bool {
	return k.entries.Len() >= MaxKeys
}

// Len returns the number of keys.
func (k Keys) Len() int {
	return k.entries.Len()
}

// Answer returns the stored answer to a key.
func (k Keys) Answer(key string) (message.Answer, bool) {
	e, ok := k.entries.Get(key)
	if !ok || e.answer == nil {
		return message.Answer{}, false
	}
	return *e.answer, true
}

// Has reports whether a request with the key was accepted before.
func (k Keys) Has(key string) bool {
	_, ok := k.entries.Get(key)
	return ok
}

// WithKey returns a copy with a key added.
func (k Keys) WithKey(key string, id message.ID, now time.Time) Keys {
	k.entries = k.entries.Set(key, keyEntry{id: id})
	k.order = k.order.Append(insertion{key: key, time: now})
	return k
}

// WithoutKey returns a copy without a key whose request was certainly not sent. A key of another request stays.
func (k Keys) WithoutKey(key string, id message.ID) Keys {
	e, ok := k.entries.Get(key)
	if !ok || e.id != id {
		return k
	}
	return k.withoutAnswerBytes(e).withoutEntry(key)
}

// WithAnswer returns a copy that stores the answer to a key unless it would exceed MaxAnswerBytes.
func (k Keys) WithAnswer(key string, a *message.Answer) Keys {
	e, ok := k.entries.Get(key)
	if !ok || a == nil || k.answerBytes+len(a.Body) > MaxAnswerBytes {
		return k
	}
	k = k.withoutAnswerBytes(e)
	k.answerBytes += len(a.Body)
	k.entries = k.entries.Set(key, keyEntry{id: e.id, answer: a})
	return k
}

// WithoutExpired returns a copy without the keys past their retention and the answers to them. The cost is proportional
// to the number of keys removed.
func (k Keys) WithoutExpired(now time.Time) Keys {
	for k.order.Len() > 0 && now.Sub(k.order.Get(0).time) >= KeyRetention {
		key := k.order.Get(0).key
		if e, ok := k.entries.Get(key); ok {
			k = k.withoutAnswerBytes(e).withoutEntry(key)
		}
		k.order = k.order.Slice(1, k.order.Len())
	}
	return k
}

// withoutAnswerBytes returns a copy whose total size no longer includes the answer of an entry.
func (k Keys) withoutAnswerBytes(e keyEntry) Keys {
	if e.answer != nil {
		k.answerBytes -= len(e.answer.Body)
	}
	return k
}

func (k Keys) withoutEntry(key string) Keys {
	k.entries = k.entries.Delete(key)
	return k
}

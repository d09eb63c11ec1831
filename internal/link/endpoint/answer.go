package endpoint

import (
	"errors"
	"io"
	"sync"
)

// answerBody is the body of an answer; it frees the connection at the body's end.
type answerBody struct {
	io.ReadCloser
	attempt  *attempt
	counters counters
	once     sync.Once
}

// Read returns io.EOF only at the end that the answer's header announced.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.once.Do(func() {
			b.counters.answered.Inc(1)
			b.attempt.finish()
		})
	default:
		b.cut()
	}
	return n, err
}

// Close ends the connection if the body was not read to its end.
func (b *answerBody) Close() error {
	b.cut()
	return b.ReadCloser.Close()
}

func (b *answerBody) cut() {
	b.once.Do(func() {
		b.counters.truncated.Inc(1)
		b.attempt.fail()
	})
}

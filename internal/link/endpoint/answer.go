package endpoint

import (
	"errors"
	"io"
	"sync"
)

// answerBody is the body of an answer. Reading it to the end releases the connection.
type answerBody struct {
	io.ReadCloser
	attempt  *attempt
	counters counters
	once     sync.Once
}

// Read returns io.EOF only at the end of the body as framed by its length or by the last chunk.
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
		b.abort()
	}
	return n, err
}

// Close closes the connection if the body was not read to its end.
func (b *answerBody) Close() error {
	b.abort()
	return b.ReadCloser.Close()
}

func (b *answerBody) abort() {
	b.once.Do(func() {
		b.counters.truncated.Inc(1)
		b.attempt.fail()
	})
}

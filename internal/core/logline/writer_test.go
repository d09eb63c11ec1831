package logline_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/core/logline"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that blocks because nobody reads its standard output.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe() // never read from
	defer func() { _ = r.Close() }()
	l := logline.New(w)
	ended := make(chan struct{})
	go func() {
		for range 10 * logline.QueueCapacity {
			_, _ = l.Write([]byte("line\n"))
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		c.Fatal("Write blocks on a stuck reader")
	}
	c.Assert(l.Dropped() > 0, qt.IsTrue)
}

// Guards against queued lines that are lost on a regular exit.
func TestCloseWritesQueuedLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := logline.New(&out)
	for range 50 {
		_, _ = l.Write([]byte("line\n"))
	}
	l.Close()
	c.Assert(strings.Count(out.String(), "line\n"), qt.Equals, 50)
}

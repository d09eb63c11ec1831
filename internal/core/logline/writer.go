package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the log, which keep its cost small while much happens.
const (
	Capacity  = 1024            // lines that wait for a slow reader
	PerSecond = 400             // lines written in a second; owners reach it in a few seconds of the busiest days
	flushWait = 2 * time.Second // for the lines that wait when the process ends
)

const timeFormat = "2006-01-02T15:04:05.000Z" // of the other lines, so that logs can be put in order

// Writer queues lines for a goroutine that writes them; it drops and counts lines beyond the bounds.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	close   sync.Once
	window  atomic.Int64 // the second that is being counted
	written atomic.Int64 // lines in that second
}

// New returns a writer in front of w; its goroutine runs until Close.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, Capacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues a copy of a line; it never blocks and never fails.
func (l *Writer) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); l.window.Swap(second) != second {
		l.written.Store(0)
	}
	if l.written.Add(1) > PerSecond {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Close writes the lines that wait, for a while at most.
func (l *Writer) Close() {
	l.close.Do(func() { close(l.lines) })
	select {
	case <-l.done:
	case <-time.After(flushWait):
	}
}

// run writes lines; a reader that has gone ends neither the goroutine nor the process.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	var reported int64
	for line := range l.lines {
		if n := l.dropped.Load(); n > reported && len(l.lines) == 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=\"log lines left out\" event=log.dropped lines=%d\n",
				time.Now().UTC().Format(timeFormat), n-reported)
			reported = n
		}
		_, _ = w.Write(line) // there is nowhere to report it to
	}
}

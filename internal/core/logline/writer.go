package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits that keep the cost of logging low under high load.
const (
	QueueCapacity     = 1024            // lines queued for a slow reader
	MaxLinesPerSecond = 400             // a pool's owner logs that many for a few seconds on the busiest days
	flushWait         = 2 * time.Second // longest wait of Close for the queued lines
)

const timeFormat = "2006-01-02T15:04:05.000Z" // that of slog.TextHandler in UTC, so that lines can be sorted by time

// Writer queues lines for a goroutine that writes them; it drops and counts lines beyond the limits.
type Writer struct {
	lines       chan []byte
	done        chan struct{}
	dropped     atomic.Int64
	close       sync.Once
	windowStart atomic.Int64 // Unix time of the second that windowLines refers to
	windowLines atomic.Int64 // lines passed to Write in that second, including dropped ones
}

// New returns a Writer that forwards lines to w; its goroutine runs until Close.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, QueueCapacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues a copy of a line; it never blocks and never returns an error. It must not be called after Close.
func (l *Writer) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); l.windowStart.Swap(second) != second {
		l.windowLines.Store(0)
	}
	if l.windowLines.Add(1) > MaxLinesPerSecond {
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

// Dropped returns the number of dropped lines.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines, waiting at most flushWait.
func (l *Writer) Close() {
	l.close.Do(func() { close(l.lines) })
	select {
	case <-l.done:
	case <-time.After(flushWait):
	}
}

// run writes the queued lines; write errors, as of a closed pipe, end neither the goroutine nor the process.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	var reported int64
	for line := range l.lines {
		if n := l.dropped.Load(); n > reported && len(l.lines) == 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=\"log lines dropped\" event=log.dropped lines=%d\n",
				time.Now().UTC().Format(timeFormat), n-reported)
			reported = n
		}
		_, _ = w.Write(line) // there is nowhere to report the error
	}
}

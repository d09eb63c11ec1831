//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	ended bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add writes a line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		return
	}
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the record; later lines are dropped.
func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	_ = r.out.Flush()
	_ = r.file.Close()
}

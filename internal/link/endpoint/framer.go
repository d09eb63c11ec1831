package endpoint

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// framer finds the end of an answer in the bytes of a connection.
//
// The transport offers a connection to the next request before it looks at the
// bytes after an answer, and would take surplus bytes for the next answer.
type framer struct {
	state   framerState
	head    bool // of an answer to HEAD
	line    []byte
	status  int
	length  int64 // announced, -1 for none
	chunked bool
	left    int64 // bytes of the body or chunk, with the line end of a chunk
}

type framerState int

// The states of a framer.
const (
	inStatus framerState = iota
	inHeader
	inBody
	inSize  // the line that starts a chunk
	inChunk // its data
	inTrailer
	whole // the answer has ended
	lost  // the end cannot be told; the connection is not used again
)

// maxLine bounds a line of the header, in bytes; the transport refuses longer headers.
const maxLine = 64 << 10

// feed takes the next bytes and returns how many of them belong to the answer.
func (f *framer) feed(p []byte) int {
	used := 0
	for used < len(p) && f.state != whole {
		switch f.state {
		case inBody, inChunk:
			used += f.skip(len(p) - used)
		case lost:
			return len(p)
		case inStatus, inHeader, inSize, inTrailer, whole:
			used += f.readLine(p[used:])
		}
	}
	return used
}

// skip takes up to n bytes of a body or chunk.
func (f *framer) skip(n int) int {
	n = int(min(f.left, int64(n)))
	f.left -= int64(n)
	if f.left == 0 {
		if f.state == inBody {
			f.state = whole
		} else {
			f.state = inSize
		}
	}
	return n
}

// readLine takes bytes up to the end of a line.
func (f *framer) readLine(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		end = len(p) - 1
	} else {
		defer f.endLine()
	}
	f.line = append(f.line, p[:end+1]...)
	if len(f.line) > maxLine {
		f.state = lost
	}
	return end + 1
}

func (f *framer) endLine() {
	if f.state == lost {
		return
	}
	line := strings.TrimRight(string(f.line), "\r\n")
	f.line = f.line[:0]
	switch f.state {
	case inStatus:
		f.startHead(line)
	case inHeader:
		f.header(line)
	case inSize:
		f.startChunk(line)
	case inTrailer:
		if line == "" {
			f.state = whole
		}
	case inBody, inChunk, whole, lost:
	}
}

func (f *framer) startHead(line string) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		f.state = lost
		return
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil {
		f.state = lost
		return
	}
	f.state, f.status, f.length, f.chunked = inHeader, status, -1, false
}

func (f *framer) header(line string) {
	if line == "" {
		f.startBody()
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 || (f.length >= 0 && f.length != n) {
			f.state = lost
			return
		}
		f.length = n
	case "transfer-encoding":
		f.chunked = strings.EqualFold(value, "chunked")
	}
}

func (f *framer) startBody() {
	switch {
	case f.status >= 100 && f.status < 200 && f.status != http.StatusSwitchingProtocols:
		f.state = inStatus // an interim answer
	case f.head || f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		f.state = whole
	case f.chunked:
		f.state = inSize
	case f.length == 0:
		f.state = whole
	case f.length > 0:
		f.state, f.left = inBody, f.length
	default:
		f.state = lost
	}
}

func (f *framer) startChunk(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		f.state = lost
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.left = inChunk, n+int64(len("\r\n"))
	}
}

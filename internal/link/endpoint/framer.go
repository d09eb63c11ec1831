package endpoint

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// framer finds the end of an answer in the bytes of a connection.
//
// The transport makes a connection available to the next request before it checks for bytes after an answer, and would
// take surplus bytes for the next answer.
type framer struct {
	state       framerState
	headRequest bool // answers a HEAD request
	line        []byte
	status      int
	length      int64 // Content-Length, -1 if not set
	chunked     bool
	remaining   int64 // bytes of the body or chunk, including the line end after a chunk
}

type framerState int

// States of a framer.
const (
	inStatus framerState = iota
	inHeader
	inBody
	inChunkSize // line with the size of a chunk
	inChunkData // data of a chunk and its line end
	inTrailer
	complete // answer has ended
	invalid  // end cannot be determined; the connection is not used again
)

// maxLine is the maximum length of a header line in bytes. The transport refuses longer headers.
const maxLine = 64 << 10

// consume processes the next bytes and returns how many of them belong to the answer.
func (f *framer) consume(p []byte) int {
	used := 0
	for used < len(p) && f.state != complete {
		switch f.state {
		case inBody, inChunkData:
			used += f.skip(len(p) - used)
		case invalid:
			return len(p)
		case inStatus, inHeader, inChunkSize, inTrailer, complete:
			used += f.readLine(p[used:])
		}
	}
	return used
}

// skip consumes up to n bytes of a body or chunk and returns their number.
func (f *framer) skip(n int) int {
	n = int(min(f.remaining, int64(n)))
	f.remaining -= int64(n)
	if f.remaining == 0 {
		if f.state == inBody {
			f.state = complete
		} else {
			f.state = inChunkSize
		}
	}
	return n
}

// readLine consumes the bytes up to the end of the line and returns their number.
func (f *framer) readLine(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		end = len(p) - 1
	} else {
		defer f.endLine()
	}
	f.line = append(f.line, p[:end+1]...)
	if len(f.line) > maxLine {
		f.state = invalid
	}
	return end + 1
}

func (f *framer) endLine() {
	if f.state == invalid {
		return
	}
	line := strings.TrimRight(string(f.line), "\r\n")
	f.line = f.line[:0]
	switch f.state {
	case inStatus:
		f.parseStatusLine(line)
	case inHeader:
		f.parseHeaderLine(line)
	case inChunkSize:
		f.parseChunkSize(line)
	case inTrailer:
		if line == "" {
			f.state = complete
		}
	case inBody, inChunkData, complete, invalid:
	}
}

func (f *framer) parseStatusLine(line string) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		f.state = invalid
		return
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil {
		f.state = invalid
		return
	}
	f.state, f.status, f.length, f.chunked = inHeader, status, -1, false
}

func (f *framer) parseHeaderLine(line string) {
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
			f.state = invalid
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
		f.state = inStatus // interim (1xx) answer
	case f.headRequest || f.status == http.StatusNoContent || f.status == http.StatusNotModified:
		f.state = complete
	case f.chunked:
		f.state = inChunkSize
	case f.length == 0:
		f.state = complete
	case f.length > 0:
		f.state, f.remaining = inBody, f.length
	default:
		f.state = invalid
	}
}

func (f *framer) parseChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
	switch {
	case err != nil || n < 0:
		f.state = invalid
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunkData, n+int64(len("\r\n"))
	}
}

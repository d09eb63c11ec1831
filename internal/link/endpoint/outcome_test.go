package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
)

// runCounter counts the runs of each request by its path.
type runCounter struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (l *runCounter) add(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[key]++
}

func (l *runCounter) count(key string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// Guards invariants 4 and 5 while connections close during writes: a request with the outcome answered must have run
// once, with not run never, and with unknown at most once.
//
// It fails if attempt.fail reports that no byte was written. It also fails if nonReplayableBody returns nil for an
// empty body and gotConn lets the transport write to a second connection, since the transport then sends requests
// twice.
func TestOutcomesAreTrueWhenConnectionsClose(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	runs := &runCounter{runs: map[string]int{}}
	address := serveRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 1 + rand.IntN(6) {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			runs.add(r.URL.Path)
			switch rand.IntN(8) {
			case 0:
				return // the request ran, but its answer is lost
			case 1:
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
				return
			}
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path); err != nil {
				return
			}
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Microsecond)
	})
	const senders, each = 12, 300
	var group sync.WaitGroup
	var totals [3]int
	var mutex sync.Mutex
	for s := range senders {
		group.Go(func() {
			for i := range each {
				path := fmt.Sprintf("/s/%d-%d", s, i)
				method := []string{"POST", "GET", "PUT", "HEAD", "PATCH"}[i%5]
				var body []byte
				if i%2 == 0 && method != "GET" && method != "HEAD" {
					body = make([]byte, rand.IntN(8000))
				}
				got, outcome, err := p.send(address, request(method, path, body, path))
				ran := runs.count(path)
				switch outcome {
				case message.Answered:
					c.Check(err, qt.IsNil)
					c.Check(ran, qt.Equals, 1, qt.Commentf("%s answered", method))
					if method != "HEAD" {
						c.Check(got, qt.Equals, path)
					}
				case message.NotRun:
					c.Check(ran, qt.Equals, 0, qt.Commentf("%s not run: %v", method, err))
				case message.Unknown:
					c.Check(ran <= 1, qt.IsTrue, qt.Commentf("%s unknown ran %d times: %v", method, ran, err))
				}
				mutex.Lock()
				totals[outcome]++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	c.Logf("answered %d, not run %d, unknown %d", totals[message.Answered], totals[message.NotRun], totals[message.Unknown])
	for path, n := range runs.runs { // includes runs after the outcome was reported
		c.Check(n <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", path, n))
	}
	c.Check(totals[message.Answered] > senders*each/2, qt.IsTrue)
}

// Guards invariant 4 while sends are canceled at arbitrary times: no byte may be written after the outcome not run was
// reported.
//
// It fails if the written flag belongs to the connection instead of connUse, or if attempt.fail reports that no byte
// was written.
func TestOutcomesAreTrueWhenSendsAreCanceled(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	runs := &runCounter{runs: map[string]int{}}
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) { runs.add(r.URL.Path) }, nil)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var notRun []string
	for s := range 10 {
		group.Go(func() {
			for i := range 300 {
				path := fmt.Sprintf("/s/%d-%d", s, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(400))*time.Microsecond)
				_, outcome, _ := p.sendContext(ctx, address, request("POST", path, nil, path))
				cancel()
				if outcome == message.NotRun {
					mutex.Lock()
					notRun = append(notRun, path)
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	c.Logf("not run %d of 3000", len(notRun))
	time.Sleep(50 * time.Millisecond) // time for late runs
	for _, path := range notRun {
		c.Check(runs.count(path), qt.Equals, 0, qt.Commentf("%s was reported as not run", path))
	}
}

// Guards invariant 3 against answers that arrive after the send timed out: an answer to one request must not be
// returned for another.
func TestLateAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	address := serveRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		}
	})
	for i := range 500 {
		path := fmt.Sprintf("/s/%d", i)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rand.IntN(2))*time.Millisecond)
		got, outcome, _ := p.sendContext(ctx, address, request("GET", path, nil, ""))
		cancel()
		if outcome == message.Answered {
			c.Assert(got, qt.Equals, path)
		}
	}
}

// answerTwice returns a connection handler that answers each request and sends a second answer after a pause.
func answerTwice(pause time.Duration) func(net.Conn) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			text := fmt.Sprintf(answer, len(r.URL.Path), r.URL.Path)
			surplus := fmt.Sprintf(answer, len("surplus"), "surplus")
			if pause == 0 {
				_, _ = io.WriteString(conn, text+surplus)
				continue
			}
			_, _ = io.WriteString(conn, text)
			time.Sleep(pause)
			_, _ = io.WriteString(conn, surplus)
		}
	}
}

// Guards invariant 3 against executors that send more than one answer to a request.
//
// It fails if conn.Read returns the bytes after an answer.
func TestSurplusAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	address := serveRaw(t, answerTwice(0))
	var group sync.WaitGroup
	var answered atomic.Int64
	for s := range 20 {
		group.Go(func() {
			for i := range 100 {
				path := fmt.Sprintf("/s/%d-%d", s, i)
				got, outcome, err := p.send(address, request("GET", path, nil, ""))
				// A send that gets only connections with surplus bytes has the outcome not run.
				c.Check(outcome, qt.Not(qt.Equals), message.Unknown, qt.Commentf("%v", err))
				if outcome == message.Answered {
					answered.Add(1)
					c.Check(got, qt.Equals, path)
				}
			}
		})
	}
	group.Wait()
	c.Logf("answered %d of 2000", answered.Load())
	c.Check(answered.Load() > 1000, qt.IsTrue)
	// The second answer arrives while the connection is idle.
	address = serveRaw(t, answerTwice(time.Millisecond))
	for i := range 20 {
		path := fmt.Sprintf("/s/%d", i)
		got, outcome, err := p.send(address, request("GET", path, nil, ""))
		c.Check(outcome, qt.Equals, message.Answered, qt.Commentf("%v", err))
		c.Check(got, qt.Equals, path)
		eventually(c, "connection closed", func() bool { return p.usage(c, address).Open == 0 })
	}
}

// Guards against finding the end of an answer too early or too late, regardless of how its bytes are split into writes.
func TestFragmentedAnswers(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	const large = 100000
	for i, form := range []struct{ method, answer, body string }{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"GET", "HTTP/1.1 200 OK\ncontent-length:5\n\nhello", "hello"},
		{"GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\n", "hello0123456789"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n", "ok"},
		{"GET", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, strings.Repeat("y", large)), strings.Repeat("y", large)},
	} {
		var connections atomic.Int64
		address := serveRaw(t, func(conn net.Conn) {
			connections.Add(1)
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				for rest := form.answer; rest != ""; {
					n := 1 + rand.IntN(min(len(rest), 1+len(form.answer)/7))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}
		})
		for range 20 {
			got, outcome, err := p.send(address, request(form.method, "/s", nil, ""))
			c.Assert(outcome, qt.Equals, message.Answered, qt.Commentf("form %d: %v", i, err))
			c.Assert(got == form.body, qt.IsTrue, qt.Commentf("form %d", i))
		}
		c.Check(connections.Load(), qt.Equals, int64(1), qt.Commentf("form %d was taken for an answer without an end", i))
	}
}

// Guards against accepting answers whose end is unknown or that are not HTTP, and against a wrong outcome for them.
func TestInvalidAnswers(t *testing.T) {
	c := qt.New(t)
	p := start(t, `{}`)
	for name, test := range map[string]struct {
		address string
		outcome message.Outcome
	}{
		"no length": {serveRaw(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nno end")
		}), message.Unknown},
		"not HTTP": {serveRaw(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "hello\r\n\r\n")
		}), message.Unknown},
		"closed at once": {serveRaw(t, func(net.Conn) {}), message.Unknown},
	} {
		_, outcome, err := p.send(test.address, request("POST", "/s", []byte("b"), "k"))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
		c.Check(outcome != message.Answered, qt.IsTrue, qt.Commentf("%s", name))
		if name == "no length" || name == "not HTTP" {
			c.Check(outcome, qt.Equals, test.outcome, qt.Commentf("%s", name))
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	_ = l.Close()
	_, outcome, err := p.send(l.Addr().String(), request("POST", "/s", nil, "k"))
	c.Check(err, qt.IsNotNil)
	c.Check(outcome, qt.Equals, message.NotRun)
}

package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of traffic through a proxy.
type Direction int

// The directions: from the side that opened the connection, and back to it.
const (
	Outbound Direction = iota
	Inbound
)

// Proxy forwards TCP connections on loopback and injects network faults on request.
type Proxy struct {
	listener   net.Listener
	target     atomic.Pointer[string]
	stalled    [2]atomic.Bool // by direction: bytes are held back while set
	delay      atomic.Int64   // nanoseconds before each chunk is forwarded
	refuse     atomic.Bool
	severed    atomic.Pointer[func(daemon string) bool]
	identify   func(net.Conn) (daemon string, ok bool) // nil if all connections are of one daemon
	goroutines sync.WaitGroup

	mutex  sync.Mutex
	pairs  map[*pair]bool
	closed bool
}

// pair is a client connection and its connection to the target.
type pair struct {
	in, out net.Conn
	daemon  string // that opened the connection; empty if the proxy does not identify daemons
}

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) { return newProxy(target, nil) }

// newProxy starts a proxy that identifies the daemon that opened a connection.
func newProxy(target string, identify func(net.Conn) (daemon string, ok bool)) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding an address does not wait
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, identify: identify, pairs: map[*pair]bool{}}
	p.target.Store(&target)
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the proxy's listen address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Stall holds bytes back in one direction, or forwards them again.
func (p *Proxy) Stall(w Direction, silent bool) { p.stalled[w].Store(silent) }

// Delay sets the delay before each chunk is forwarded.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// Sever holds back all bytes of the connections of some daemons, in both directions, until it is called with nil.
// Bytes whose sender closes its connection meanwhile are dropped.
func (p *Proxy) Sever(from func(daemon string) bool) {
	if from == nil {
		p.severed.Store(nil)
		return
	}
	p.severed.Store(&from)
}

// isSevered reports whether the bytes of a daemon's connections are held back.
func (p *Proxy) isSevered(daemon string) bool {
	from := p.severed.Load()
	return from != nil && (*from)(daemon)
}

// Refuse makes the proxy reset new connections, or accept them again.
func (p *Proxy) Refuse(refuse bool) { p.refuse.Store(refuse) }

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for x := range p.pairs {
		x.reset()
	}
}

// Close stops the listener, resets all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	_ = p.listener.Close() // it is not used any more
	p.Reset()
	p.goroutines.Wait()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			(&pair{in: in}).reset()
			continue
		}
		p.goroutines.Go(func() { p.forward(in) })
	}
}

func (p *Proxy) forward(in net.Conn) {
	const dialTimeout = 2 * time.Second
	x := &pair{in: in}
	if p.identify != nil {
		var ok bool
		if x.daemon, ok = p.identify(in); !ok {
			x.reset() // the daemon has closed the connection already
			return
		}
	}
	out, err := net.DialTimeout("tcp", *p.target.Load(), dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		p.awaitJoined(x.daemon)
		x.reset()
		return
	}
	x.out = out
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		x.reset()
		return
	}
	p.pairs[x] = true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyBytes(x, out, in, Outbound) })
	both.Go(func() { p.copyBytes(x, in, out, Inbound) })
	both.Wait()
	p.mutex.Lock()
	delete(p.pairs, x)
	p.mutex.Unlock()
}

// copyBytes copies bytes in one direction until either side closes, and then closes both. It goes on reading while the
// pair is severed, to notice a sender that closes its connection.
func (p *Proxy) copyBytes(x *pair, to, from net.Conn, w Direction) {
	defer func() { _, _ = to.Close(), from.Close() }() // ends the other direction too
	buffer := make([]byte, 32<<10)
	var held []byte
	for {
		deadline := time.Time{}
		if p.isSevered(x.daemon) || len(held) > 0 {
			deadline = time.Now().Add(pollInterval)
		}
		_ = from.SetReadDeadline(deadline) // fails on a closed connection, as the read does
		n, err := from.Read(buffer)
		held = append(held, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
		if len(held) > 0 || errors.Is(err, io.EOF) {
			p.pause(w)
		}
		if p.isSevered(x.daemon) {
			if err != nil {
				p.awaitJoined(x.daemon)
				return
			}
			continue
		}
		if _, failed := to.Write(held); failed != nil || err != nil {
			return
		}
		held = held[:0]
	}
}

// awaitJoined waits until the bytes of a daemon's connections are no longer held back.
func (p *Proxy) awaitJoined(daemon string) {
	for p.isSevered(daemon) {
		time.Sleep(pollInterval)
	}
}

// pollInterval is the time between two checks of a fault's end.
const pollInterval = 20 * time.Millisecond

// pause waits for the delay and until the direction is no longer stalled.
func (p *Proxy) pause(w Direction) {
	time.Sleep(time.Duration(p.delay.Load()))
	for p.stalled[w].Load() {
		time.Sleep(pollInterval)
	}
}

// reset closes both connections with a TCP reset.
func (x *pair) reset() {
	for _, c := range []net.Conn{x.in, x.out} {
		if t, ok := c.(*net.TCPConn); ok && t != nil {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}

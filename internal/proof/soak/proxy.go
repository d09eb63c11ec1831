package soak

import (
	"errors"
	"io"
	"net"
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
	goroutines sync.WaitGroup

	mutex  sync.Mutex
	pairs  map[*pair]bool
	closed bool
}

// pair is a client connection and its connection to the target.
type pair struct {
	in, out net.Conn
}

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding an address does not wait
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, pairs: map[*pair]bool{}}
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
	out, err := net.DialTimeout("tcp", *p.target.Load(), dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		(&pair{in: in}).reset()
		return
	}
	x := &pair{in: in, out: out}
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		x.reset()
		return
	}
	p.pairs[x] = true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyBytes(out, in, Outbound) })
	both.Go(func() { p.copyBytes(in, out, Inbound) })
	both.Wait()
	p.mutex.Lock()
	delete(p.pairs, x)
	p.mutex.Unlock()
}

// copyBytes copies bytes in one direction until either side closes, and then closes both.
func (p *Proxy) copyBytes(to, from net.Conn, w Direction) {
	defer func() { _, _ = to.Close(), from.Close() }() // ends the other direction too
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.pause(w)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			p.pause(w)
		}
		if err != nil {
			return
		}
	}
}

// pause waits for the delay and until the direction is no longer stalled.
func (p *Proxy) pause(w Direction) {
	time.Sleep(time.Duration(p.delay.Load()))
	const pollInterval = 20 * time.Millisecond
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

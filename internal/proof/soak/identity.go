package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// identify returns the name of the daemon that opened an accepted connection. It returns false if no daemon holds the
// other end any longer.
func (s *system) identify(accepted net.Conn) (daemon string, ok bool) {
	const (
		tries = 3 // the kernel's table may miss a socket while others are closed
		pause = 5 * time.Millisecond
	)
	for range tries {
		if inode, found := s.sockets.inode(accepted.RemoteAddr(), accepted.LocalAddr()); found {
			for _, d := range s.startedDaemons() {
				if holdsSocket(d.pid(), inode) {
					return d.name, true
				}
			}
		}
		time.Sleep(pause)
	}
	return "", false
}

// socketTable is a copy of the kernel's table of IPv4 sockets. Connections that are identified at the same time share a
// copy, which is searched and not parsed: the table lists the sockets of all processes. Beside tests that leave thousands
// of sockets behind, a copy for each of several hundred connections used up the processors and 2 GB of memory, so that
// daemons lost the store.
type socketTable struct {
	mutex  sync.Mutex
	readAt time.Time // before the table was read
	lines  []byte
}

// inode returns the inode of the socket with the given addresses, from a copy of the table that is not older than the call.
func (t *socketTable) inode(local, remote net.Addr) (inode string, ok bool) {
	called := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.readAt.After(called) {
		t.readAt = time.Now()
		t.lines = appendSockets(t.lines[:0])
	}
	const inodeField = 7 // after the addresses
	addresses := " " + tableAddress(local) + " " + tableAddress(remote) + " "
	_, rest, found := bytes.Cut(t.lines, []byte(addresses))
	if !found {
		return "", false
	}
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) < inodeField {
		return "", false
	}
	return string(fields[inodeField-1]), true
}

// appendSockets appends the kernel's table to a buffer. It returns what could be read.
func appendSockets(buffer []byte) []byte {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return buffer
	}
	defer func() { _ = f.Close() }()
	b := bytes.NewBuffer(buffer)
	_, _ = b.ReadFrom(f) // a part of the table lacks sockets, which are looked up again
	return b.Bytes()
}

// tableAddress formats an IPv4 address as in the kernel's table: hexadecimal, the host in the machine's byte order.
func tableAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(t.IP.To4()), t.Port)
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has exited
	}
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

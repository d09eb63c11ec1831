package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
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
		if inode, found := socketInode(accepted.RemoteAddr(), accepted.LocalAddr()); found {
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

// socketInode returns the inode of the IPv4 socket with the given addresses, from the kernel's table of TCP sockets.
func socketInode(local, remote net.Addr) (inode string, ok bool) {
	const localField, remoteField, inodeField = 1, 2, 9
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	from, to := tableAddress(local), tableAddress(remote)
	for line := range bytes.Lines(table) {
		f := strings.Fields(string(line))
		if len(f) > inodeField && f[localField] == from && f[remoteField] == to {
			return f[inodeField], true
		}
	}
	return "", false
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

package entry

import (
	"errors"
	"fmt"

	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

var (
	errNoMember    = errors.New("entry instance has no member record")
	errIncarnation = errors.New("entry instance has another incarnation")
)

// Directory holds the member records, which give the addresses and incarnations of the entry instances.
type Directory struct {
	self    string
	members *immutable.Map[string, record.Member]
}

// NewDirectory returns an empty directory for the entry instance named self.
func NewDirectory(self string) Directory {
	return Directory{self: self, members: immutable.NewMap[string, record.Member](nil)}
}

// WithMember returns a copy with the member added or replaced.
func (d Directory) WithMember(m record.Member) Directory {
	d.members = d.members.Set(m.Entry, m)
	return d
}

// WithoutMember returns a copy without the member.
func (d Directory) WithoutMember(entry string) Directory {
	d.members = d.members.Delete(entry)
	return d
}

// Member returns the record of an entry instance.
func (d Directory) Member(entry string) (record.Member, bool) {
	return d.members.Get(entry)
}

// helloTo returns the hello to send to the peer, either to open a link or in answer to the peer's hello.
func (d Directory) helloTo(peer string) (hello, error) {
	own, ok := d.members.Get(d.self)
	if !ok {
		return hello{}, fmt.Errorf("%q: %w", d.self, errNoMember)
	}
	other, ok := d.members.Get(peer)
	if !ok {
		return hello{}, fmt.Errorf("%q: %w", peer, errNoMember)
	}
	return hello{Entry: own.Entry, Incarnation: own.Incarnation, Peer: other.Entry, Target: other.Incarnation}, nil
}

// checkHello checks a received hello against the member records and returns the answer to it.
func (d Directory) checkHello(h hello) (hello, error) {
	want, err := d.helloTo(h.Entry)
	if err != nil {
		return hello{}, err
	}
	if h.Incarnation != want.Target {
		return hello{}, fmt.Errorf("%q: %w", h.Entry, errIncarnation)
	}
	if h.Peer != want.Entry || h.Target != want.Incarnation {
		return hello{}, fmt.Errorf("hello of %q is addressed to %q: %w", h.Entry, h.Peer, errIncarnation)
	}
	return want, nil
}

// outdated reports whether the member record of the hello's sender now has another incarnation.
func (d Directory) outdated(h hello) bool {
	m, ok := d.members.Get(h.Entry)
	return ok && m.Incarnation != h.Incarnation
}

package platform

import (
	"sync/atomic"

	"teaselloft/internal/model/record"
)

// identity holds the current member record. Any goroutine may read it; only the member duty replaces it.
type identity struct {
	member atomic.Pointer[record.Member]
}

func newIdentity(m record.Member) *identity {
	i := &identity{}
	i.member.Store(&m)
	return i
}

// Self returns the current member record.
func (i *identity) Self() record.Member {
	return *i.member.Load()
}

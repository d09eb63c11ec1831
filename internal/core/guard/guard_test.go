package guard_test

import (
	"testing"

	"teaselloft/internal/core/guard"

	qt "github.com/frankban/quicktest"
)

// Guards against a panic that ends the process, and against an error without the place of the panic.
func TestCall(t *testing.T) {
	c := qt.New(t)
	c.Assert(guard.Call(func() {}), qt.IsNil)
	var list []int
	err := guard.Call(func() { list[3] = 1 })
	c.Assert(err, qt.ErrorIs, guard.ErrPanic)
	c.Assert(err, qt.ErrorMatches, `(?s).*index out of range.*guard_test\.go.*`)
}

package guard

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// ErrPanic is wrapped by the error that Call returns for a panic.
var ErrPanic = errors.New("panic")

// Call calls f. If f panics, it returns an error with the panic value and the stack.
func Call(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()
	f()
	return nil
}

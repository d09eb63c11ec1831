package operate

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// ErrRefused is wrapped by every error that refuses an order.
var ErrRefused = errors.New("order is refused")

// Order is an operator's order for one instance.
//
//sumtype:decl
type Order interface{ order() }

// Move drains and reboots an instance and then places it in another pool.
type Move struct{ Pool string }

// Drain stops new work for an instance and lets the work in progress finish.
type Drain struct{}

// Return puts an instance back into service; it cancels a move whose drain has not finished.
type Return struct{}

func (Move) order()   {}
func (Drain) order()  {}
func (Return) order() {}

// TakesOut reports whether the order takes an instance out of service, which requires headroom.
func TakesOut(o Order) bool {
	switch o.(type) {
	case Move, Drain:
		return true
	case Return:
		return false
	default:
		panic(fmt.Sprintf("operate: unhandled order %T", o))
	}
}

// Decide returns the instance's record after the order. Its error wraps ErrRefused.
func Decide(o Order, r record.Instance, f fleet.Fleet, reason string, now time.Time) (record.Instance, error) {
	if r.State != record.Serving && TakesOut(o) {
		return record.Instance{}, fmt.Errorf("%w: instance %q is %s since %s%s", ErrRefused, r.ID, r.State, r.Since.Format(time.RFC3339), cause(r))
	}
	switch o := o.(type) {
	case Move:
		if err := checkMove(r, f, o.Pool); err != nil {
			return record.Instance{}, err
		}
		return r.WithState(record.Draining, now).WithWave("", reason).WithTarget(o.Pool), nil
	case Drain:
		return r.WithState(record.Draining, now).WithWave("", reason).WithTarget(""), nil
	case Return:
		return returnToService(r, reason, now)
	default:
		panic(fmt.Sprintf("operate: unhandled order %T", o))
	}
}

// cause returns why the instance is out of service, as a suffix for an error message.
func cause(r record.Instance) string {
	switch {
	case r.Reason != "":
		return ": " + r.Reason
	case r.Wave != "":
		return " for wave " + r.Wave
	default:
		return ""
	}
}

// checkMove refuses a move to an unknown pool, to the instance's own pool or to another fleet's pool.
//
// Fleets share only the spare pool.
func checkMove(r record.Instance, f fleet.Fleet, pool string) error {
	to, ok := f.Pool(pool)
	if !ok {
		return fmt.Errorf("%w: pool %q does not exist", ErrRefused, pool)
	}
	if r.Pool == pool {
		return fmt.Errorf("%w: instance %q is in pool %q already", ErrRefused, r.ID, pool)
	}
	from, ok := f.Pool(r.Pool)
	if ok && from.Name != f.Spare && to.Name != f.Spare && from.Fleet != to.Fleet {
		return fmt.Errorf("%w: pool %q is of fleet %q and pool %q of fleet %q; fleets share only the spare pool %q",
			ErrRefused, from.Name, from.Fleet, to.Name, to.Fleet, f.Spare)
	}
	return nil
}

// returnToService puts an instance back into service: in its old pool while it drains, in its target pool afterwards.
func returnToService(r record.Instance, reason string, now time.Time) (record.Instance, error) {
	if r.State == record.Serving {
		return record.Instance{}, fmt.Errorf("%w: instance %q serves already", ErrRefused, r.ID)
	}
	if r.Target != "" && r.State != record.Draining {
		r = r.WithPool(r.Target)
	}
	return r.WithState(record.Serving, now).WithWave("", reason).WithTarget(""), nil
}

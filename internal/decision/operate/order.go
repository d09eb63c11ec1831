package operate

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// ErrRefused is wrapped by every refusal of an order.
var ErrRefused = errors.New("order is refused")

// Order is what an operator wants of one instance.
//
//sumtype:decl
type Order interface{ order() }

// Move drains an instance and places it in another pool once it was rebooted.
type Move struct{ Pool string }

// Drain lets an instance finish its work and gives it no more.
type Drain struct{}

// Return gives an instance work again; it ends a move that still drains.
type Return struct{}

func (Move) order()   {}
func (Drain) order()  {}
func (Return) order() {}

// TakesOut reports whether an order takes an instance out of service, which needs headroom.
func TakesOut(o Order) bool {
	switch o.(type) {
	case Move, Drain:
		return true
	case Return:
		return false
	default:
		panic(fmt.Sprintf("unhandled order %T", o))
	}
}

// Decide returns the instance's next record; its error wraps ErrRefused.
func Decide(o Order, r record.Instance, f fleet.Fleet, reason string, now time.Time) (record.Instance, error) {
	if r.State != record.Serving && TakesOut(o) {
		return record.Instance{}, fmt.Errorf("%w: instance %q is %s since %s%s", ErrRefused, r.ID, r.State, r.Since.Format(time.RFC3339), because(r))
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
		return giveBack(r, reason, now)
	default:
		panic(fmt.Sprintf("unhandled order %T", o))
	}
}

func because(r record.Instance) string {
	switch {
	case r.Reason != "":
		return ": " + r.Reason
	case r.Wave != "":
		return " for wave " + r.Wave
	default:
		return ""
	}
}

// checkMove refuses a move to nowhere and one between fleets, which share only the spare pool.
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

// giveBack returns an instance to service: one that still drains in its old pool, a rebooted one in its target.
func giveBack(r record.Instance, reason string, now time.Time) (record.Instance, error) {
	if r.State == record.Serving {
		return record.Instance{}, fmt.Errorf("%w: instance %q serves already", ErrRefused, r.ID)
	}
	if r.Target != "" && r.State != record.Draining {
		r = r.WithPool(r.Target)
	}
	return r.WithState(record.Serving, now).WithWave("", reason).WithTarget(""), nil
}

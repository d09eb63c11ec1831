package dispatch_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"
)

// writeStateKey writes everything that determines the further course of the simulation.
func (sim *simulation) writeStateKey(out *bytes.Buffer) {
	fmt.Fprint(out, sim.now.UnixNano(), sim.claim, sim.revision, sim.segments, sim.keyHolders, sim.runs, sim.limits)
	for _, p := range sim.owners {
		fmt.Fprint(out, "|", p.epoch, p.until.UnixNano(), p.inbox, p.outbox, p.pending)
		if p.write != nil {
			fmt.Fprint(out, *p.write)
		}
		if p.stateDigest == "" {
			var state bytes.Buffer
			writeValue(&state, reflect.ValueOf(p.state))
			p.stateDigest = fmt.Sprintf("%x", sha256.Sum256(state.Bytes()))
		}
		out.WriteString(p.stateDigest)
	}
	for _, name := range slices.Sorted(maps.Keys(sim.clients)) {
		c := sim.clients[name]
		fmt.Fprint(out, "|", name, c.minEpoch, c.waiting, c.sending, c.sent)
	}
}

// writeValue writes a value and everything its pointers lead to. It skips the options, which do not change, and the
// learned run times, which the explored invariants do not depend on.
func writeValue(out *bytes.Buffer, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			out.WriteString("nil,")
			return
		}
		writeValue(out, v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			fmt.Fprint(out, v.Field(0).Uint(), v.Field(1).Int(), ",")
			return
		}
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "runTimes" && name != "options" && name != "hasher" && name != "comparer" {
				writeValue(out, v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		out.WriteString(strconv.Itoa(v.Len()) + "[")
		for i := range v.Len() {
			writeValue(out, v.Index(i))
		}
	case reflect.String:
		out.WriteString(v.String() + ",")
	case reflect.Int, reflect.Int64:
		out.WriteString(strconv.FormatInt(v.Int(), 36) + ",")
	case reflect.Uint64, reflect.Uint32:
		out.WriteString(strconv.FormatUint(v.Uint(), 36) + ",")
	case reflect.Bool:
		out.WriteString(strconv.FormatBool(v.Bool()))
	default:
		fmt.Fprint(out, v, ",")
	}
}

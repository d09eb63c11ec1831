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

// writeKey writes all that determines what can happen next in the world.
func (w *world) writeKey(out *bytes.Buffer) {
	fmt.Fprint(out, w.now.UnixNano(), w.claim, w.revision, w.segments, w.holder, w.runs, w.scope)
	for _, p := range w.owners {
		fmt.Fprint(out, "|", p.epoch, p.until.UnixNano(), p.inbox, p.outbox, p.pending)
		if p.write != nil {
			fmt.Fprint(out, *p.write)
		}
		if p.digest == "" {
			var state bytes.Buffer
			writeValue(&state, reflect.ValueOf(p.state))
			p.digest = fmt.Sprintf("%x", sha256.Sum256(state.Bytes()))
		}
		out.WriteString(p.digest)
	}
	for _, name := range slices.Sorted(maps.Keys(w.clients)) {
		c := w.clients[name]
		fmt.Fprint(out, "|", name, c.accepted, c.waiting, c.sending, c.sent)
	}
}

// writeValue writes a state with what its pointers lead to; options do not change and run times do not matter here.
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
			if name := v.Type().Field(i).Name; name != "known" && name != "options" && name != "hasher" && name != "comparer" {
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

package dispatch_test

import (
	"fmt"
	"testing"

	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/model/message"
)

// BenchmarkWithdraw measures a request and its withdrawal at two queue lengths, since the cost must not grow with the
// queue.
func BenchmarkWithdraw(b *testing.B) {
	for _, length := range []int{10, 4000} {
		b.Run(fmt.Sprint("queue ", length), func(b *testing.B) {
			s := owner(8, "e1")
			ask := func(i int) {
				r := request("b", uint64(i), "")
				r.Caller = fmt.Sprint("caller", i%100)
				s, _ = dispatch.Step(s, dispatch.GrantRequest{Now: at(1), From: "b", Request: r})
			}
			for i := range length {
				ask(i)
			}
			b.ReportAllocs()
			i := length
			for b.Loop() {
				ask(i)
				s, _ = dispatch.Step(s, dispatch.Withdraw{Now: at(1), ID: request("b", uint64(i), "").ID})
				i++
			}
		})
	}
}

// BenchmarkClaim measures a non-idempotent request with a write of its own of a claim value of up to 32 KB.
func BenchmarkClaim(b *testing.B) {
	s := owner(8, "e1")
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		var effects []dispatch.Effect
		r := request("b", i, fmt.Sprint("key", i))
		s, effects = dispatch.Step(s, dispatch.GrantRequest{Now: at(1), From: "b", Request: r})
		for w, ok := write(effects); ok; w, ok = write(effects) {
			s, effects = dispatch.Step(s, dispatch.WriteResult{Now: at(1), Epoch: 1, Sequence: w.Sequence, Revision: int64(i)})
		}
		s, _ = dispatch.Step(s, dispatch.Release{Now: at(1), From: "b", Release: message.Release{ID: r.ID, Executor: "e1"}})
	}
}

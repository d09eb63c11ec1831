package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against tasks that run twice under cuts of any pattern, also in one direction, between owners, executors and the
// store, with takeovers that take up to 3 s.
func TestCutsRunNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 5).Draw(t, "executors"))
		serial := 0
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			id := fmt.Sprintf("x%d", rapid.IntRange(0, len(sim.executors)-1).Draw(t, "executor"))
			o := sim.owners[rapid.IntRange(max(0, len(sim.owners)-3), len(sim.owners)-1).Draw(t, "owner")]
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0, 1, 2:
				sim.submit(sim.current(), drawSubmission(t, serial))
				serial++
			case 3:
				sim.slowTakeover = time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
				sim.takeOver(rapid.Bool().Draw(t, "keep"))
			case 4:
				sim.crash(id)
			case 5, 6, 7:
				for i := range len(sim.executors) {
					sim.cuts[path{o, fmt.Sprintf("x%d", i)}] = drawCut(t)
				}
			case 8, 9:
				sim.storeCuts[o] = drawCut(t)
				sim.healStore(o)
			case 10:
				sim.cuts[path{o, id}] = drawCut(t)
			case 11:
				o.frozenUntil = sim.now + time.Duration(rapid.IntRange(500, 6000).Draw(t, "frozen"))*time.Millisecond
			}
			sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
		}
		sim.cuts, sim.storeCuts = map[path]cut{}, map[*owner]cut{}
		for _, o := range sim.owners {
			sim.healStore(o)
		}
		sim.clearFaults()
		sim.checkOutcomes()
	})
}

func drawCut(t *rapid.T) cut {
	return cut(rapid.IntRange(int(cutNothing), int(cutAnswers)).Draw(t, "cut"))
}

// healStore lets the store carry out the calls of an owner that got no answer, unless the owner is still cut off from it.
func (sim *simulation) healStore(o *owner) {
	if sim.storeCuts[o] != cutNothing {
		return
	}
	calls := sim.onStoreHeal[o]
	delete(sim.onStoreHeal, o)
	for _, call := range calls {
		call()
	}
}

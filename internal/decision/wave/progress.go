package wave

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"teaselloft/internal/model/record"
)

// Steps of an instance in a wave.
const (
	StepPending   = "pending"
	StepDraining  = "draining"
	StepRebooting = "rebooting"
	StepReturned  = "returned"
	StepFailed    = "failed"
)

// reportWaves updates the phase and the progress of each wave that has started.
func (p *pass) reportWaves() {
	known := p.state.waves
	for itr := known.Iterator(); !itr.Done(); {
		_, stored, _ := itr.Next()
		if stored.Record.Phase != record.Planned && p.writable(stored.Record.Key()) {
			p.reportWave(stored)
		}
	}
}

// reportWave writes the wave if its phase changes, or if its progress has changed and the last report is old enough.
func (p *pass) reportWave(stored Versioned[record.Wave]) {
	w := stored.Record
	progress := p.state.progress(w, p.instances)
	phase := p.nextPhase(w, progress)
	if phase != w.Phase {
		w = w.WithPhase(phase, p.state.now)
		level := slog.LevelInfo
		if phase == record.Stopped {
			level = slog.LevelWarn
		}
		p.note(notice(level, "wave."+string(phase), "wave phase changed", "wave", w.ID))
	} else if equalProgress(w.Progress, progress) {
		return
	}
	next, reported := p.state.nextReports.Get(w.ID)
	if phase == stored.Record.Phase && reported && p.state.now.Before(next) {
		return
	}
	interval := p.state.settings.ProgressInterval + time.Duration(len(progress))*p.state.settings.ProgressIntervalPerInstance
	p.state.nextReports = p.state.nextReports.Set(w.ID, p.state.now.Add(interval))
	p.write(w.WithProgress(progress), stored.Revision)
}

// Progress computes a wave's progress from the instance records, which are authoritative. The progress in the wave's
// record may be older.
func (s State) Progress(w record.Wave) map[string]record.WaveProgress {
	return s.progress(w, s.allInstances())
}

func (s State) progress(w record.Wave, known map[string]Versioned[record.Instance]) map[string]record.WaveProgress {
	progress := make(map[string]record.WaveProgress, len(w.Progress))
	for id := range s.declared {
		r := known[id].Record
		if r.Wave == w.ID || s.selects(w, r) {
			progress[id] = instanceProgress(w, r)
		}
	}
	return progress
}

func instanceProgress(w record.Wave, r record.Instance) record.WaveProgress {
	if r.Wave != w.ID && (r.State != record.Serving || !maintained(w, r)) {
		return record.WaveProgress{Step: StepPending, Reason: r.Reason}
	}
	step := StepPending
	switch r.State {
	case record.Serving:
		step = StepReturned
	case record.Draining:
		step = StepDraining
	case record.Rebooting:
		step = StepRebooting
	case record.Out:
		step = StepFailed
	default: // a state written by a newer version
	}
	return record.WaveProgress{Step: step, Since: r.Since, Reason: r.Reason}
}

func equalProgress(a, b map[string]record.WaveProgress) bool {
	if len(a) != len(b) {
		return false
	}
	for id, x := range a {
		y, ok := b[id]
		if !ok || x.Step != y.Step || x.Reason != y.Reason || !x.Since.Equal(y.Since) {
			return false
		}
	}
	return true
}

// nextPhase returns the phase that the wave enters with the given progress.
func (p *pass) nextPhase(w record.Wave, progress map[string]record.WaveProgress) record.WavePhase {
	if w.Phase != record.Running {
		return w.Phase
	}
	if countFailures(w, progress, p.state.settings.FailureWindow) >= p.state.settings.MaxFailures {
		return record.Stopped
	}
	for _, g := range progress {
		if g.Step != StepReturned && g.Step != StepFailed {
			return record.Running
		}
	}
	return record.Done
}

// countFailures returns how many instances failed among the last window instances that finished. Only those that
// finished after the wave was last started or resumed count.
func countFailures(w record.Wave, progress map[string]record.WaveProgress, window int) int {
	var finished []record.WaveProgress
	for _, g := range progress {
		if (g.Step == StepReturned || g.Step == StepFailed) && g.Since.After(w.Since) {
			finished = append(finished, g)
		}
	}
	slices.SortFunc(finished, func(a, b record.WaveProgress) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(a.Step, b.Step))
	})
	failed := 0
	for _, g := range finished[:min(window, len(finished))] {
		if g.Step == StepFailed {
			failed++
		}
	}
	return failed
}

// NextWake returns when Step needs the next Tick if no other message arrives, or the zero time if it needs none.
func (s State) NextWake() time.Time {
	var wake time.Time
	if s.epoch == 0 {
		return wake
	}
	consider := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	for itr := s.pendingWrites.Iterator(); !itr.Done(); {
		_, pending, _ := itr.Next()
		if pending.inDoubt {
			consider(pending.rereadAt)
		}
	}
	if !s.loaded {
		consider(s.nextLoad)
	}
	for itr := s.instances.Iterator(); !itr.Done(); {
		_, stored, _ := itr.Next()
		s.instanceWakes(stored.Record, consider)
	}
	for itr := s.cooldowns.Iterator(); !itr.Done(); {
		_, t, _ := itr.Next()
		consider(t)
	}
	for itr := s.nextReports.Iterator(); !itr.Done(); {
		_, t, _ := itr.Next()
		consider(t)
	}
	return wake
}

// instanceWakes calls consider with each time at which the state of the instance may have to change. A timeout
// applies only once it is exceeded, which the additional second ensures.
func (s State) instanceWakes(r record.Instance, consider func(time.Time)) {
	switch r.State {
	case record.Draining:
		if d, ok := s.drainStarts.Get(r.ID); ok {
			consider(d.observedAt.Add(s.settings.DrainGrace))
		}
		consider(r.Since.Add(s.settings.DrainTimeout + time.Second))
	case record.Rebooting:
		consider(r.Since.Add(s.settings.RebootSettle))
		consider(r.Since.Add(s.settings.RebootTimeout + time.Second))
	case record.Serving, record.Out: // wait for the next instance list or record
	default: // a state written by a newer version is left unchanged
	}
}

// Draining returns the draining instances, for which Step needs InFlight messages.
func (s State) Draining() []string {
	var ids []string
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, stored, _ := itr.Next()
		if stored.Record.State == record.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// Summary returns a one-line summary of a wave's progress.
func Summary(w record.Wave) string {
	counts := map[string]int{}
	for _, g := range w.Progress {
		counts[g.Step]++
	}
	return fmt.Sprintf("%d pending, %d draining, %d rebooting, %d returned, %d failed", counts[StepPending],
		counts[StepDraining], counts[StepRebooting], counts[StepReturned], counts[StepFailed])
}

package maintenance

import (
	"fmt"
	"io"
	"os"
	"strings"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/record"
)

// barWidth is the length of the progress bar in characters.
const barWidth = 40

// bar draws a wave's progress on a terminal and nothing elsewhere.
type bar struct {
	out io.Writer // nil without a terminal
}

func newBar(w io.Writer) bar {
	f, ok := w.(*os.File)
	if !ok {
		return bar{}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return bar{}
	}
	return bar{out: w}
}

func (b bar) draw(w record.Wave) {
	if b.out != nil {
		fmt.Fprintf(b.out, "\r\x1b[K%s", render(w))
	}
}

func (b bar) end() {
	if b.out != nil {
		fmt.Fprintln(b.out)
	}
}

// render returns the bar of a wave as one line.
func render(w record.Wave) string {
	done := 0
	for _, g := range w.Progress {
		if g.Step == wave.StepReturned || g.Step == wave.StepFailed {
			done++
		}
	}
	filled := 0
	if n := len(w.Progress); n > 0 {
		filled = barWidth * done / n
	}
	return fmt.Sprintf("%s [%s%s] %d/%d %s", w.ID, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled),
		done, len(w.Progress), w.Phase)
}

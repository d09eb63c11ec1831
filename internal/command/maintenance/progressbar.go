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

// progressBar draws a wave's progress if the output is a terminal.
type progressBar struct {
	out io.Writer // nil if the output is not a terminal
}

func newProgressBar(w io.Writer) progressBar {
	f, ok := w.(*os.File)
	if !ok {
		return progressBar{}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return progressBar{}
	}
	return progressBar{out: w}
}

func (b progressBar) draw(w record.Wave) {
	if b.out != nil {
		fmt.Fprintf(b.out, "\r\x1b[K%s", render(w))
	}
}

func (b progressBar) end() {
	if b.out != nil {
		fmt.Fprintln(b.out)
	}
}

// render returns the wave's progress bar as one line.
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

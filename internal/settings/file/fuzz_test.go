package file_test

import (
	"bytes"
	"errors"
	"testing"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/settings/file"

	"pgregory.net/rapid"
)

const overlay = `{"site": "kartli", "pools": [{"name": "rakes", "remove": true}], "services": [{"name": "rake-control", "remove": true}]}`

// readAny reads two texts as base and overlay and checks the invariants that hold for any input.
func readAny(t interface{ Fatalf(string, ...any) }, first, second []byte) {
	config, err := file.Read(file.Source{Name: "a", Data: first}, file.Source{Name: "b", Data: second})
	if err == nil {
		if len(config.Fleet.Zones) == 0 {
			t.Fatalf("a valid configuration has no zones")
		}
		return
	}
	list := strict.FaultsOf(err)
	if !errors.Is(err, strict.ErrInvalid) || len(list) == 0 {
		t.Fatalf("error without faults: %v", err)
	}
	for _, f := range list {
		if f.At.File == "" || f.At.Line < 1 || f.At.Column < 1 || f.Message == "" {
			t.Fatalf("fault without position or message: %+v", f)
		}
	}
}

// FuzzRead guards against input that makes Read panic or return a fault without a position.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{base, overlay, ``, `{`, `{}`, `null`, `[[]]`, `{"a":1,"a":2}`, "{\"zones\":[\"\xff\"]}", `{"pools":[{"name":1}]}`, `{"services":{}}`} {
		f.Add([]byte(seed), []byte(overlay))
		f.Add([]byte(base), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) { readAny(t, first, second) })
}

// words are the fragments that are inserted into valid files to damage them.
var words = []string{
	`{`, `}`, `[`, `]`, `,`, `:`, `null`, `true`, `-1`, `1e9`, `""`, `"name"`, `"pools"`, `"from"`, `"to"`, `"remove"`,
	`"flag-calendar"`, `"instances"`, `"id"`, "\xff", "\n", `"\u0000"`, `"\ud800"`,
}

// Guards against a panic on files that are almost valid, such as those that operators edit by hand.
func TestReadSurvivesDamagedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := [][]byte{[]byte(base), []byte(overlay)}
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			i := rapid.IntRange(0, 1).Draw(t, "file")
			from := rapid.IntRange(0, len(text[i])).Draw(t, "from")
			to := min(from+rapid.IntRange(0, 40).Draw(t, "length"), len(text[i]))
			word := []byte(rapid.SampledFrom(words).Draw(t, "word"))
			text[i] = bytes.Join([][]byte{text[i][:from], text[i][to:]}, word)
		}
		readAny(t, text[0], text[1])
	})
}

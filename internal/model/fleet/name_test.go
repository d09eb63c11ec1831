package fleet_test

import (
	"testing"
	"unicode"

	"teaselloft/internal/model/fleet"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against names that look the same to a caller but differ after normalization.
func TestNormalize(t *testing.T) {
	c := qt.New(t)
	for in, want := range map[string]string{
		"Flag-Calendar":      "flag-calendar",
		"\u10d3\u10e0\u10dd": "\u10d3\u10e0\u10dd", // Georgian lower case (Mkhedruli)
		"\u1c93\u1ca0\u1c9d": "\u10d3\u10e0\u10dd", // Georgian upper case (Mtavruli)
		"cafe\u0301":         "caf\u00e9",
		"\u212a":             "k",      // Kelvin sign
		"stra\u00dfe":        "straße", // simple folding keeps the length
		"\u0130":             "\u0130", // dotted capital I has no simple folding
		"\u03c2":             "\u03c3", // final sigma
	} {
		c.Check(fleet.Normalize(in), qt.Equals, want, qt.Commentf("%q", in))
	}
}

// Guards against a folding that maps members of one case folding orbit to different code points.
func TestNormalizeFoldsEveryOrbit(t *testing.T) {
	c := qt.New(t)
	for r := rune(0); r <= unicode.MaxRune; r++ {
		other := unicode.SimpleFold(r)
		if other == r {
			continue
		}
		if fleet.Normalize(string(r)) != fleet.Normalize(string(other)) {
			c.Errorf("%U and %U fold apart", r, other)
		}
	}
}

// Guards against a normal form that changes when it is normalized again, as happens to stored names.
func TestNormalizeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := fleet.Normalize(rapid.String().Draw(t, "name"))
		if again := fleet.Normalize(once); again != once {
			t.Fatalf("%q became %q", once, again)
		}
	})
}

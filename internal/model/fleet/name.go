package fleet

import (
	"strings"
	"unicode"

	"golang.org/x/text/unicode/norm"
)

// Normalize returns the normal form for comparing names: Unicode NFC with simple case folding.
func Normalize(name string) string {
	if isNormalized(name) {
		return name
	}
	return norm.NFC.String(strings.Map(simpleFold, norm.NFC.String(name)))
}

// isNormalized reports whether a name is ASCII without upper-case letters, and so already normalized.
// It saves the table lookups for most names.
func isNormalized(name string) bool {
	for i := range len(name) {
		if b := name[i]; b >= 0x80 || b >= 'A' && b <= 'Z' {
			return false
		}
	}
	return true
}

// simpleFold returns the lower-case member of a code point's simple case folding orbit.
//
// A code point whose lower case is in another orbit, such as the dotted capital I, has no simple folding and is
// returned unchanged.
func simpleFold(r rune) rune {
	lower := unicode.ToLower(unicode.ToUpper(r))
	if lower == r {
		return r
	}
	for o := unicode.SimpleFold(r); o != r; o = unicode.SimpleFold(o) {
		if o == lower {
			return lower
		}
	}
	return r
}

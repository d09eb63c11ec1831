package fleet

import (
	"strings"
	"unicode"

	"golang.org/x/text/unicode/norm"
)

// Normalize returns the form in which names are compared: Unicode NFC, then simple case folding.
func Normalize(name string) string {
	if plain(name) {
		return name
	}
	return norm.NFC.String(strings.Map(fold, norm.NFC.String(name)))
}

// plain reports whether a name is its own normal form without a table lookup.
func plain(name string) bool {
	for i := range len(name) {
		if b := name[i]; b >= 0x80 || b >= 'A' && b <= 'Z' {
			return false
		}
	}
	return true
}

// fold returns the lower case member of a code point's simple case folding orbit.
//
// A code point outside the orbit of its own lower case, such as the dotted
// capital I, has no simple folding and stays as it is.
func fold(r rune) rune {
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

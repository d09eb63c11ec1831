package placement

import "fmt"

// Plus returns the sum of each resource.
func (s Size) Plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Minus returns the difference of each resource.
func (s Size) Minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// tolerance absorbs rounding errors in sums of fractional sizes.
const tolerance = 1e-6

// Fits reports whether s is within o in every resource.
func (s Size) Fits(o Size) bool {
	return s.Cores <= o.Cores+tolerance && s.Memory <= o.Memory+tolerance && s.Accelerators <= o.Accelerators
}

// maxEach returns the larger amount of each resource.
func (s Size) maxEach(o Size) Size {
	return Size{
		Cores:        max(s.Cores, o.Cores),
		Memory:       max(s.Memory, o.Memory),
		Accelerators: max(s.Accelerators, o.Accelerators),
	}
}

// excess describes the first resource in which s exceeds the named limit, or returns "".
func (s Size) excess(limit Size, limitName string) string {
	switch {
	case s.Cores > limit.Cores+tolerance:
		return fmt.Sprintf("needs %g cores, more than the %g of %s", s.Cores, limit.Cores, limitName)
	case s.Memory > limit.Memory+tolerance:
		return fmt.Sprintf("needs %g GB memory, more than the %g of %s", s.Memory, limit.Memory, limitName)
	case s.Accelerators > limit.Accelerators:
		return fmt.Sprintf("needs %d accelerators, more than the %d of %s", s.Accelerators, limit.Accelerators, limitName)
	default:
		return ""
	}
}

package correct

import "fmt"

// Query is a name as a caller wrote it.
type Query struct {
	Name       string
	Fleet      string // fleet that the caller asked for, may be empty
	Idempotent bool
}

// Rule names the rule that corrected a name.
type Rule string

// The rules that correct a name.
const (
	RuleCorrection Rule = "correction" // declared by the operators
	RuleNearest    Rule = "nearest"    // unique nearest service name
)

// Result is the answer to a query.
//
//sumtype:decl
type Result interface{ result() }

// Exact says that the name is a service's own.
type Exact struct{ Service string }

// Corrected says that another service name is meant.
type Corrected struct {
	From    string // name as the caller wrote it
	Service string
	Rule    Rule
	Source  string // site of the overlay, "base", or the edit distance of the nearest rule
}

// Ambiguous says that several services may be meant; the request is refused.
type Ambiguous struct{ Candidates []string }

// Unknown says that no service is meant; Near lists similar names as a hint.
type Unknown struct{ Near []string }

func (Exact) result()     {}
func (Corrected) result() {}
func (Ambiguous) result() {}
func (Unknown) result()   {}

// Service returns the service that a result leads to, and false when the request is refused.
func Service(r Result) (string, bool) {
	switch v := r.(type) {
	case Exact:
		return v.Service, true
	case Corrected:
		return v.Service, true
	case Ambiguous, Unknown:
		return "", false
	default:
		panic(fmt.Sprintf("unhandled correction result %T", r))
	}
}

// Candidates returns the names to show a caller whose request is refused.
func Candidates(r Result) []string {
	switch v := r.(type) {
	case Ambiguous:
		return v.Candidates
	case Unknown:
		return v.Near
	case Exact, Corrected:
		return nil
	default:
		panic(fmt.Sprintf("unhandled correction result %T", r))
	}
}

// String returns the correction as the Teaselloft-Correction header shows it.
func (c Corrected) String() string {
	return fmt.Sprintf("%s>%s (%s)", c.From, c.Service, c.Rule)
}

package correct

import "fmt"

// Query is a service name as the caller wrote it, with the parts of the request that affect its resolution.
type Query struct {
	Name       string
	Fleet      string // that the caller requested, empty for any
	Idempotent bool
}

// Rule is a rule that corrects names.
type Rule string

// The correction rules.
const (
	RuleCorrection Rule = "correction" // configured by the operators
	RuleNearest    Rule = "nearest"    // single service name at the least edit distance
)

// Result is the answer to a query.
//
//sumtype:decl
type Result interface{ result() }

// Exact reports that the name is that of a service.
type Exact struct{ Service string }

// Corrected reports that the name was corrected to that of a service.
type Corrected struct {
	From    string // name as the caller wrote it
	Service string
	Rule    Rule
	Source  string // site whose configuration overlay has the correction, "base", or the edit distance as "distance N"
}

// Ambiguous reports that several services match. The request is refused.
type Ambiguous struct{ Candidates []string }

// Unknown reports that no service matches. The request is refused and Suggestions lists similar names.
type Unknown struct{ Suggestions []string }

func (Exact) result()     {}
func (Corrected) result() {}
func (Ambiguous) result() {}
func (Unknown) result()   {}

// Service returns the service that a result resolves to, or false if the request is refused.
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

// Candidates returns the service names to list in a refusal.
func Candidates(r Result) []string {
	switch v := r.(type) {
	case Ambiguous:
		return v.Candidates
	case Unknown:
		return v.Suggestions
	case Exact, Corrected:
		return nil
	default:
		panic(fmt.Sprintf("unhandled correction result %T", r))
	}
}

// String returns the value of the Teaselloft-Correction header.
func (c Corrected) String() string {
	return fmt.Sprintf("%s>%s (%s)", c.From, c.Service, c.Rule)
}

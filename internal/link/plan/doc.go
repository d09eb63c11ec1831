// Package plan runs the planner: the duty that decides on waves and capacity while this entry
// instance owns the reserved service name planner, and the duty that makes its platform calls.
package plan

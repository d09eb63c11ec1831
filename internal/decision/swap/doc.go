// Package swap decides how one compare-and-swap is carried to a certain end when answers get lost.
//
// It is a pure function from a state and a message to a new state and effects.
package swap

// Package follow decides which changes of a watched set of keys are published, without loss or repetition.
//
// It is a pure function from a state and a message to a new state and effects.
package follow

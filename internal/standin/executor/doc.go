// Package executor decides how one executor of a service runs its requests and fails on purpose, and what it counts.
//
// It is a pure function from a state and a message to a new state and effects; the endpoint stand-in serves it.
package executor

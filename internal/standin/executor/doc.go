// Package executor models one executor of a service: its running requests, injected faults and counters.
//
// Step is a pure function from a state and a message to a new state and effects; the endpoint stand-in
// carries the effects out.
package executor

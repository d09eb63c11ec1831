// Package dispatch decides, for the owner of a service, which request gets which executor slot and when.
//
// It is a pure function from a state and a message to a new state and effects.
// Every message must carry the time at which it is handed to Step, not the time
// at which it was queued: a proof of ownership that ended in between must count.
package dispatch

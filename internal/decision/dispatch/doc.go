// Package dispatch decides, for the owner of a service, which request gets which executor slot and when.
//
// A service is owned by one entry instance at a time. Each takeover starts a new epoch with a higher number. The entry
// instances of the site are the owner's members. Before a member sends a request to an executor, it asks the owner to
// grant the request a slot of the executor. It releases the grant afterwards.
//
// A new owner gathers the grants that the members still hold from earlier epochs before it grants requests itself. It
// reserves the static shares of the members that it cannot reach. A static share is the part of the slots that a member
// may use without grants while there is no owner.
//
// A non-idempotent request claims its idempotency key in the store before it is granted, so that the key does not run a
// second time, even after a takeover. The claims are stored in the value of the service's claim key, which is called
// the claim value, and in immutable segments, to which entries move when the claim value becomes too large.
//
// Step is a pure function from a state and a message to a new state and effects.
// Every message must carry the time at which it is passed to Step, not the time at
// which it was queued, so that ownership that expired in between is noticed.
package dispatch

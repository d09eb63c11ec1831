// Package entry combines the decisions of one entry instance: name correction, ownership of services,
// dispatch of the services that it owns and forwarding of the requests that it accepted.
//
// Step is a pure function from a state and a message to a new state and effects. The routing duty
// calls it and carries out the effects. Another front end or a test can do the same, since no encoding
// of messages is involved.
package entry

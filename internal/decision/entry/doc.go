// Package entry combines the decisions of one entry instance: name correction,
// ownership, dispatch of the services it owns and forwarding of the requests it took.
//
// It is a pure function over values. The routing duty feeds it and carries out
// its effects; any other front end or a test can do the same without an encoding.
package entry

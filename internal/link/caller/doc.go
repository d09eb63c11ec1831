// Package caller is the HTTP listener for callers.
//
// The goroutine of each request asks the routing duty for a verdict, sends the request to the executor itself and
// reports the outcome, so that request bodies never pass through the routing duty.
package caller

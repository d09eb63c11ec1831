// Package caller is the callers' HTTP listener.
//
// The goroutine of each request asks the routing duty for a verdict, performs
// the send itself and reports its end, so that the routing duty never sees a body.
package caller

// Package forward decides how the entry instance that accepted a request obtains a grant for it.
//
// It decides which owner is asked for the grant, when it is asked again, and what the caller link
// does with the request: send, refuse, replay a stored answer or give up a retry.
package forward

// Package intake decides whether the owner of a pool takes another submission, from how far it is behind with its messages,
// and what the callers are told whose calls the owner has not answered.
package intake

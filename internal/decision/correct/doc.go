// Package correct decides which service a caller's name means.
//
// The rules, in order: the exact name after normalization, the operators'
// corrections, and the unique nearest service name where the service allows it
// and the request is idempotent.
package correct

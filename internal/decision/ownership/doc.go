// Package ownership decides which entry instance owns which service.
//
// Ownership follows from the platform's leases: an entry instance takes a
// service over only after the platform has expired its owner's lease, and acts
// as owner only until its own lease may have expired by its own clock.
package ownership

// Package maintenance decides which instances are taken out for maintenance next, and which move to another pool. Only
// the daemon that owns the fleet, which is the instances of a site, uses it.
package maintenance

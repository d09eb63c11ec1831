// Package maintenance decides for the owner of the fleet which instances are taken out for maintenance next, and which
// move to another pool.
package maintenance

// Package cluster holds the membership and ownership records of the daemons of a site,
// and the directory that each daemon builds from them.
//
// A duty is a responsibility that at most one daemon may hold at a time: the scheduling of a pool, or the fleet.
package cluster

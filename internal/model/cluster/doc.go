// Package cluster holds the membership and ownership records of the daemons of a site,
// and the directory that each daemon builds from them.
package cluster

// Package relay decides which daemons relay the calls of a pool's owner to its executors.
package relay

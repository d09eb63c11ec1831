// Package instances holds the wire types and a client of the platform's instance list.
package instances

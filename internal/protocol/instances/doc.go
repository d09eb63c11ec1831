// Package instances provides the wire types of the platform's instance list and a client for it.
package instances

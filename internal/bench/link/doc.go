// Package link measures what the caller and endpoint links add to a direct connection to an endpoint.
package link

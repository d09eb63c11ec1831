// Package endpoint sends requests to executors over HTTP/1.1 connections that it keeps open.
//
// It sends each request at most once and reports reliably whether a byte of it may have been written. For this, it
// wraps every connection. The wrapper decides under a lock whether a write comes before or after the end of the
// attempt.
package endpoint

// Package endpoint sends requests to executors over HTTP/1.1 connections that it keeps open.
//
// It sends each request at most once and tells exactly whether a byte of it was
// written: every connection is wrapped, and the wrapper decides under a lock
// whether a write comes before or after the end of the attempt.
package endpoint

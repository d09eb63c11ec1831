// Package http1 makes HTTP/1.1 calls on persistent connections in the goroutine of the caller.
//
// It uses the request writer and the response reader of net/http. The transport of net/http needs two more goroutines and
// several switches between them for each connection, which cost more processor time than the call itself when a daemon
// makes thousands of small calls a second.
package http1

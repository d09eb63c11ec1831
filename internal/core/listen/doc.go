// Package listen provides HTTP listeners with connection and header limits,
// timeouts against slow peers, TLS files that are reloaded when they change,
// and bearer-token authorization.
package listen

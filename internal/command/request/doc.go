// Package request holds the subcommand that sends one request through an entry instance.
package request

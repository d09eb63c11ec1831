// Package jobs holds the subcommand that shows the pools, executors and instances of the users' platform.
package jobs

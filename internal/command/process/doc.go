// Package process holds the subcommands that run a process from its settings and query a running one.
package process

// Package process holds the subcommands that run a process from its settings and that ask a running one.
package process

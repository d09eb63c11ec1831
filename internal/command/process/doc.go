// Package process holds the subcommand that runs a process from its settings.
package process

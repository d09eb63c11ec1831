// Package command keeps the registry of subcommands and builds a command-line program from it.
package command

// Package command keeps the table of subcommands, which register themselves, and builds a program from it.
package command

// Package fleet implements the subcommands for pools and instances.
package fleet

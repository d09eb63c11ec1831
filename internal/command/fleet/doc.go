// Package fleet holds the subcommands for pools and instances.
package fleet

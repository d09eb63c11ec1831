// Package config holds the subcommands for the operators' configuration.
package config

// Package config registers the subcommands that check, apply and list the operators' configuration.
package config

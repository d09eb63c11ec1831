// Package maintenance holds the subcommands that declare, watch and steer maintenance waves.
package maintenance

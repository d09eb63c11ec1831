// Package maintenance implements the subcommands that declare, monitor and control maintenance waves.
package maintenance

// Package jobs holds the subcommand that shows how jobs stand on the users' platform.
package jobs

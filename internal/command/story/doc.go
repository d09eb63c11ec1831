// Package story holds the subcommand that extracts the history of a job from log files.
package story

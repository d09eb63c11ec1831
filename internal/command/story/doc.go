// Package story holds the subcommand that tells from log files what became of a job.
package story

// Package option holds the flags, output formats and store connection that the subcommands share.
package option

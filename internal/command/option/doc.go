// Package option holds the flags, output forms and connections that the subcommands share.
package option

// Package layout implements the subcommand that writes the settings files of a complete local system:
// a platform stand-in, an endpoint stand-in for each pool and the entry instances.
package layout

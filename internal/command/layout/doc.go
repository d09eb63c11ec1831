// Package layout holds the subcommand that writes the settings of a whole local system:
// a platform stand-in, an endpoint stand-in for each pool and the entry instances.
package layout

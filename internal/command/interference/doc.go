// Package interference provides the subcommand that shows which images slow each other down.
package interference

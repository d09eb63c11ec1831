// Package accounts provides the subcommand that shows what client accounts use, may use and wait for.
package accounts

// Package measure keeps the registry of benchmarks, adds a subcommand for each and prints their results.
package measure

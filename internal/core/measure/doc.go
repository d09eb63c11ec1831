// Package measure keeps the table of benchmarks, which register themselves as subcommands, and prints their results.
package measure

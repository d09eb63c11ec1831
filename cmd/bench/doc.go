// Command bench runs one benchmark per subcommand, or all of them, and fails if a result exceeds its upper bound.
package main

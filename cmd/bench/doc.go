// Command bench runs the benchmarks and fails if a result exceeds its bound.
package main

// Command bench runs the benchmarks and fails when a bound is broken.
package main

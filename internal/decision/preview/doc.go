// Package preview finds the faults of a configuration before operators publish it, and its differences from the version in
// force.
//
// It is pure and knows neither the format of the configuration nor the names of its fields there.
package preview

// Package memory is a key-value store in memory with injected faults, for tests of code that uses the platform.
package memory

// Package ring provides the bounded rings that join the duties of a process.
package ring

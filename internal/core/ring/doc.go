// Package ring provides the bounded queues that connect the duties of a process.
package ring

// Package executor sends calls to one incarnation of an executor: orders one after the other, and heartbeats beside them.
package executor

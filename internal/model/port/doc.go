// Package port declares what the system needs from a platform: a store, executors, an instance list and an adviser.
//
// The adapter of a platform implements the interfaces; nothing here names a platform's formats or calls.
package port

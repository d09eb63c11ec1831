// Package process runs a local system of separate processes, breaks parts of it
// and records what its callers saw.
package process

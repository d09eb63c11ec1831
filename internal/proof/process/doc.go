// Package process runs a local system of separate processes, injects faults and checks the recorded history of calls
// for violated invariants.
package process

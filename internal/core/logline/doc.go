// Package logline writes log lines asynchronously, so that a slow reader never blocks the goroutine that logs.
package logline

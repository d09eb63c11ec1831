// Package logline writes log lines without ever blocking the goroutine that logs.
package logline

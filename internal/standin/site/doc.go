// Package site simulates the users' platform: its store, executors and instance list, as its published API describes them.
//
// It keeps all state in memory and can inject faults. It does not model the platform's timing.
package site

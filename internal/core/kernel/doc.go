// Package kernel starts and stops a process and keeps the registry of its plug-ins.
//
// A plug-in registers itself from an init function. The settings name the
// plug-ins that a process runs; each is built with its own settings section and
// returns its duties: long-running goroutines that run in one group and stop together.
// Plug-ins reach each other through the rings, topics and services of the Host.
package kernel

// Package kernel starts and stops a process and keeps the table of its plug-ins.
//
// A plug-in registers itself from an init function. The settings name the
// plug-ins that a process runs; each is built with its own settings section and
// returns its duties, which run in one group and stop together.
package kernel

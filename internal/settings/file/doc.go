// Package file reads the operators' configuration from a base file and overlays.
//
// Files are merged as nodes that keep their positions, so that a fault found
// after the merge still names the file and line that caused it.
package file

// Package confirmation decides until when a configuration may be used to accept keys, and when a daemon asks which other
// daemon for its configuration.
package confirmation

// Package limits runs a daemon as a process of its own, beside the stand-ins of its platform, and measures its memory and
// its open descriptors while a crowd of clients that do not respect the limits is connected to it.
package limits

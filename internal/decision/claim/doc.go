// Package claim decides which daemon takes over a duty that has no live owner.
package claim

// Package claim decides which daemon takes over a duty whose owner is gone.
package claim

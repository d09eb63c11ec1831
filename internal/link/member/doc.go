// Package member keeps this daemon's lease and record in the platform's store.
package member

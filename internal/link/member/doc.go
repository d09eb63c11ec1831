// Package member registers this daemon in the platform's store and renews its lease.
package member

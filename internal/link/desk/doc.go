// Package desk passes the callers' requests about jobs to the owner of the pool.
package desk

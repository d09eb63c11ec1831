// Package upkeep decides for the owner of the fleet which instances have their upkeep next, and which move to another pool.
package upkeep

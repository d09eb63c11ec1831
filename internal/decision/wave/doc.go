// Package wave decides when instances are taken out for maintenance or for a move to another pool.
//
// An instance is entered in the ledger of every service of its pool, by a compare-and-swap, before its
// own record leaves the state serving, and is removed from the ledger after it serves again. Each ledger
// entry names the revision of the instance's record, and an instance starts to drain at that revision
// only. Two planners therefore never spend the same headroom, however long one of them is paused.
package wave

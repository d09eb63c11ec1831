// Package wave decides when instances are taken out of service for maintenance or for a move to another pool.
//
// Before the record of an instance leaves the state serving, the planner adds the instance to the ledger of every
// service of its pool by a compare-and-swap. The entry is removed after the instance serves again. Each ledger entry
// names the revision of the instance's record, and the instance starts to drain only at that revision. Two planners
// therefore never use the same headroom, however long one of them is paused.
package wave

// Package wave decides when instances are taken out of service for maintenance or for a move to another pool.
//
// A wave drains and reboots the instances in its scope, as many at a time as the budgets of their services allow. The
// planner, which makes these decisions, is the process that owns the current epoch. The ledger of a service lists the
// instances that are deliberately out of service; the headroom of a service is the number of further instances that
// may be taken out.
//
// Before the record of an instance leaves the state serving, the planner adds the instance to the ledger of every
// service of its pool by a compare-and-swap. The entry is removed after the instance serves again. Each ledger entry
// names the revision of the instance's record, and the instance starts to drain only at that revision. Two planners
// therefore never use the same headroom, however long one of them is paused.
package wave

// Package operate decides how an operator's order changes the record of an instance and the ledgers of its services.
//
// Like the planner of package wave, an order that takes an instance out of service first reserves headroom: before the
// instance's record changes, the ledger of every service of its pool gets an entry for the instance. An operator and
// the planner therefore never use the same headroom.
package operate

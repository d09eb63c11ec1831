// Package operate decides how an operator's order changes the record of an instance and the ledgers of its services.
//
// Like the planner, an order that takes an instance out of service reserves
// headroom in the ledger of every service of its pool before the instance's
// record changes, so that an operator and the planner never use the same headroom.
package operate

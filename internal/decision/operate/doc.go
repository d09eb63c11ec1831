// Package operate decides what an operator's order does to the record of an instance and to the ledgers of its services.
//
// An order that takes an instance out is entered in the ledger of every service
// of its pool before the instance's record changes, as the planner does, so
// that an operator and the planner never spend the same headroom.
package operate

// Package quota decides how the quota of each client account is divided among the pools. Only the daemon that owns the
// fleet uses it.
//
// The invariant: for each limited resource, the amounts that the owners of the pools may use, as far as the lender cannot
// exclude it, are together at most the account's maximum. A limit is therefore raised only by what a pool has demonstrably
// given up, which is known once its present owner has reported the lowered limit.
package quota

// Package quota holds the values with which the quota of a client account is divided among the owners of the pools.
package quota

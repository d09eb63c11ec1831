// Package fairshare divides the capacity of a pool among client accounts by weighted dominant resource fairness. It keeps
// no history: only what is in use now counts.
package fairshare

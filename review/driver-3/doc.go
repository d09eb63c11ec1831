//go:build review

// Command driver-3 runs the cases of the third review. Each case starts the daemons of the deploy file as separate processes,
// with stand-ins for the platform, executors and clients on loopback addresses, and judges one rule by what these have seen.
package main

// Package surge emulates the owner of a pool whose processor is slow, with its executors and callers on a virtual clock,
// and measures how many jobs end in time while more and more are submitted.
package surge

// Package pool runs the pools that this daemon owns: it takes over pools, carries out their decisions and stores them.
package pool

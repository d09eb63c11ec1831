// Package pool runs the duties that this daemon has, pools and the fleet: it takes them over, carries out their
// decisions and stores them.
package pool

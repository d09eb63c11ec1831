// Package capacity decides how many instances each service holds and moves instances to and from the spare pool.
package capacity

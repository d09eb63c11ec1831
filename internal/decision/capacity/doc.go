// Package capacity sizes each service's pool by its demand and moves instances from and to the spare pool.
package capacity

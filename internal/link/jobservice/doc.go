// Package jobservice passes the callers' requests about jobs to the owners of the pools.
package jobservice

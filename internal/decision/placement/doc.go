// Package placement decides which worker runs which job.
package placement

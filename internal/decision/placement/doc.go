// Package placement assigns queued jobs to workers, and preempts, throttles and checkpoints running ones.
package placement

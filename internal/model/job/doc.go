// Package job holds the values of submitted work: jobs, their steps and tasks, and what is stored of their progress.
package job

// Package job holds submitted jobs, their steps and tasks, and the stored form of their progress.
package job

// Package runtimes learns how long the tasks of an image run, from the tasks that have ended.
package runtimes

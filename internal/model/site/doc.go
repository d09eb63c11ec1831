// Package site holds what the platform says of a site: its configuration, executors, instances and maintenance waves.
package site

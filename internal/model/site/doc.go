// Package site holds the platform's data about a site: configuration, executors, instances and maintenance waves.
package site

// Package tenure holds the records by which the daemons of a site share the work, and the directory built from them.
package tenure

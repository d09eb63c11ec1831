// Package table provides an immutable table whose values change often and whose keys change seldom.
package table

// Package table provides immutable collections whose values change often: a table by key, a list by position, and a map by number.
package table

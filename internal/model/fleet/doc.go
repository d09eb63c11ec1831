// Package fleet holds the operators' configuration as immutable values.
package fleet

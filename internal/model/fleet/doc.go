// Package fleet holds the configuration that operators declare, as immutable values.
package fleet

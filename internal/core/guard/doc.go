// Package guard turns panics into errors at the boundaries where input from outside the process is handled.
package guard

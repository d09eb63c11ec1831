// Package listwatch lists and watches a set of keys and decides which changes are published.
//
// The changes of a key are published in order of their revisions and none twice. A change is skipped only if
// a list or a read of the pinned key returns a later state of the key instead.
//
// Step is a pure function from a state and a message to a new state and effects.
package listwatch

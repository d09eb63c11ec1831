// Package store versions the configuration in the platform's key-value store.
//
// The key config/head names a snapshot and the merge patches that follow it.
// Every value is written under its own key before the head is updated by
// compare-and-swap, so a reader of any head finds all the keys that it names.
package store

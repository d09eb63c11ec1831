// Package store keeps the configuration in the platform's key-value store.
//
// The key config/head names a whole configuration and the merge patches since
// then. Values are written under keys of their own before the head is changed
// by compare-and-swap, so a reader of any head finds everything that it names.
package store

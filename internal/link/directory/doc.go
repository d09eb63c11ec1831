// Package follow keeps a directory of the site up to date from watches of the platform's store.
package directory

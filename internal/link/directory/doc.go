// Package directory maintains the directory of the site from watches of the platform's store.
package directory

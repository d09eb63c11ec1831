// Package record holds the values that entry instances keep in the platform's key-value service.
package record

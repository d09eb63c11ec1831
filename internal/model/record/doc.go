// Package record holds the records that entry instances store in the platform's key-value service.
package record

// Package operator holds the answers of an entry instance's operators' listener.
package operator

// Package operator holds the response types of an entry instance's operator API.
package operator

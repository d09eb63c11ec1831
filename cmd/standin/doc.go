// Command standin runs simple stand-ins for the platform and for endpoints.
package main

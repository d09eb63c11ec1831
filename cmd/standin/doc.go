// Command standin runs small stand-ins for the platform and for endpoints.
package main

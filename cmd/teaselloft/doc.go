// Command teaselloft is the daemon of an entry instance and the operators' command line.
package main

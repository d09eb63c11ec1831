// Command teaselloft runs the daemon of an entry instance and provides the operators' commands.
package main

// Package listen holds what every listener of a process needs: its settings,
// limits against slow or large senders, TLS whose files can be replaced while
// the process runs, and the check of bearer tokens.
package listen

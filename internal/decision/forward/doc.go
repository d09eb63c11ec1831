// Package forward decides, for the entry instance that took a request, whom to
// ask for a grant, when to ask again, and what the caller link does next.
package forward

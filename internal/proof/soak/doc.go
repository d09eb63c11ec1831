// Package soak runs daemons as separate processes against stand-ins, breaks them from outside by a seeded plan and
// checks what callers and executors see.
//
// The platform's stand-in and the proxies between it, the daemons and the callers are part of the soak's own process;
// the daemons are the real program. Times of day are not changed: a process cannot do that for another one.
package soak

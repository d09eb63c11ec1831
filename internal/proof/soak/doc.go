// Package soak runs daemons as separate processes against stand-ins, injects faults from outside by a seeded plan and
// checks what callers and executors observe.
//
// The platform's stand-in and the proxies run in the soak's own process; the daemons run the real binary. Clock jumps
// are not injected, because a process cannot change the time of day of another one.
package soak

// Package shedding decides which requests get memory when the clients of a process use up what is set aside for them, and
// whose connections are closed so that others are served.
package shedding

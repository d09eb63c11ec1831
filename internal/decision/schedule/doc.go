// Package schedule decides for the owner of a pool which tasks run on which of its executors.
//
// Step is a pure function: times, answers and reports arrive as messages, and orders, writes and answers leave as effects.
package schedule

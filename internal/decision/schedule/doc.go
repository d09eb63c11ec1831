// Package schedule decides which tasks run on which executors of a pool. The owner of the pool runs it.
//
// Step is a pure function. Its input is a message with the current time and a request, a result or an observation; its
// output is the next state and a list of effects such as orders to executors, writes to the store and answers.
package schedule

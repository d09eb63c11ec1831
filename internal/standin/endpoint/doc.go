// Package endpoint implements a stand-in for the executors of one service, each with its own listener.
//
// It registers them in the platform's instance list; POST /control on its control
// listener injects faults and GET /counters reports what was executed.
package endpoint

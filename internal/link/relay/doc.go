// Package relay carries an owner's calls to executors over other daemons, as CBOR frames over WebSocket connections.
//
// The daemon at the other end holds the connections to the executors. It decides nothing: each call carries the owner's
// fencing token and its expiry, so a call that a paused relay sends late is refused by its executor.
package relay

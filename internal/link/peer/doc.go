// Package peer carries calls to pool owners between daemons, as CBOR frames over WebSocket connections.
package peer

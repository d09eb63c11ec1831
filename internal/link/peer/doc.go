// Package peer carries requests about jobs between daemons, over WebSocket with CBOR.
package peer

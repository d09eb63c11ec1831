// Package entry connects the entry instances of a site by WebSocket links that carry CBOR frames.
//
// Each direction of a pair has its own link: the entry instance that sends
// frames dials, and the other one only answers pings. Frames to one entry
// instance arrive in order. A frame that cannot be delivered is counted, and
// the link is reported as down to the routing duty, so that it does not treat
// the frame as delivered.
package entry

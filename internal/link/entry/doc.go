// Package entry links the entry instances of a site by WebSockets that carry CBOR frames.
//
// Each direction of a pair has its own link: the entry instance that sends
// frames dials, and the other one only answers pings. Frames to one entry
// instance arrive in order. A frame that cannot be delivered is counted, and the
// routing duty learns that the link is down before it can believe the frame arrived.
package entry

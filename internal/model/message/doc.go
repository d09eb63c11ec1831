// Package message holds the messages that duties exchange within a process and the frames that
// entry instances exchange, independently of their encoding.
package message

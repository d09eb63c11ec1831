// Package message holds the values that duties exchange inside a process and
// the frames that entry instances exchange, apart from their encoding.
package message

// Package cas decides how to bring one compare-and-swap to a definite result although answers may get lost.
//
// An attempt without an answer may have taken effect. The key is then read back, and the attempt is repeated only
// if the key still has the expected revision.
package cas

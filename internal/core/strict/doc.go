// Package strict decodes JSON strictly and reports every fault of a document with file, line, column and field.
//
// encoding/json accepts duplicate keys, matches field names in any case,
// replaces invalid UTF-8 and stops at the first wrong type. Operators need all
// faults of a file at once, so a document is first parsed into nodes with
// positions, then checked against the Go type that it is decoded into.
package strict

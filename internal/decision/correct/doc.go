// Package correct resolves the service name of a request and corrects misspelled names.
//
// It applies these rules in order: an exact match of the normalized name, a correction
// configured by the operators, and the single service name at the least edit distance.
// The last rule applies only if the service allows that distance and the request is idempotent.
package correct

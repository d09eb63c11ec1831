// Package retry decides whether a failed request is retried, within a retry budget.
package retry

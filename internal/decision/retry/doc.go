// Package retry decides whether an entry instance sends a failed request again.
package retry

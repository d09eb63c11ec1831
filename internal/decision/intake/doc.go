// Package intake decides whether the owner of a pool takes another submission, from how far it is behind with its messages.
package intake

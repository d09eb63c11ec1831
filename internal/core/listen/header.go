package listen

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// HeaderSize returns the bytes of a request's line and header as sent.
func HeaderSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// Authorized reports whether the request carries the bearer token; the time it takes does not depend on the token.
func Authorized(r *http.Request, token string) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return false
	}
	// Hashes have equal lengths, so the comparison does not reveal the token's length either.
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// SetBearer adds the token to a request's header.
func SetBearer(h http.Header, token string) {
	h.Set("Authorization", bearerPrefix+token)
}

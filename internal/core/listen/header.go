package listen

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// HeaderSize returns the size of a request's line and header on the wire, in bytes.
func HeaderSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// Authorized reports whether the request carries the bearer token; it compares in constant time.
//
// An empty token authorizes no request.
func Authorized(r *http.Request, token string) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return false
	}
	// ConstantTimeCompare returns early on unequal lengths; hashes keep it from revealing the token's length.
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// SetBearer sets the Authorization header to the bearer token.
func SetBearer(h http.Header, token string) {
	h.Set("Authorization", bearerPrefix+token)
}

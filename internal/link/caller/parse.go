package caller

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"teaselloft/internal/model/message"

	"github.com/google/uuid"
)

// Request headers.
const (
	headerKey     = "Idempotency-Key"
	headerTimeout = "Request-Timeout"
	headerFleet   = "Teaselloft-Fleet"
	headerCaller  = "Teaselloft-Caller"
)

// parse returns the metadata of a request and its timeout. The error describes what is malformed.
func parse(r *http.Request) (message.Request, time.Duration, error) {
	var q message.Request
	idempotent, err := idempotentMethod(r.Method)
	if err != nil {
		return q, 0, err
	}
	name, path, err := splitPath(r.URL)
	if err != nil {
		return q, 0, err
	}
	timeout, err := parseTimeout(r.Header)
	if err != nil {
		return q, 0, err
	}
	key, err := parseKey(r.Header, idempotent)
	if err != nil {
		return q, 0, err
	}
	fleet, err := parseLabel(r.Header, headerFleet)
	if err != nil {
		return q, 0, err
	}
	caller, err := parseLabel(r.Header, headerCaller)
	if err != nil {
		return q, 0, err
	}
	if caller == "" {
		caller = remoteHost(r.RemoteAddr)
	}
	return message.Request{
		Name:       name,
		Method:     r.Method,
		Path:       path,
		Fleet:      fleet,
		Caller:     caller,
		Key:        key,
		Idempotent: idempotent,
		Class:      classOf(r.Header.Values(headerPriority)),
	}, timeout, nil
}

func idempotentMethod(method string) (bool, error) {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	case http.MethodPost, http.MethodPatch:
		return false, nil
	default:
		return false, fmt.Errorf("method %q is not supported", method)
	}
}

// splitPath returns the decoded first path segment and the rest of the request target, still encoded.
func splitPath(u *url.URL) (name, rest string, err error) {
	escaped := u.EscapedPath()
	if !strings.HasPrefix(escaped, "/") {
		return "", "", fmt.Errorf("request target %q is not a path", u)
	}
	first, rest, found := strings.Cut(escaped[1:], "/")
	if found {
		rest = "/" + rest
	}
	name, err = url.PathUnescape(first)
	if err != nil {
		return "", "", fmt.Errorf("service name: %w", err)
	}
	if err := checkName(name); err != nil {
		return "", "", err
	}
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return name, rest, nil
}

func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("service name is empty")
	case len(name) > maxName:
		return fmt.Errorf("service name is longer than %d bytes", maxName)
	case !utf8.ValidString(name):
		return errors.New("service name is not valid UTF-8")
	case strings.ContainsFunc(name, func(c rune) bool { return c == '/' || unicode.IsControl(c) }):
		return errors.New("service name contains a slash or a control character")
	default:
		return nil
	}
}

// parseTimeout returns the Request-Timeout header, limited to maxTimeout, or defaultTimeout if it is not set.
func parseTimeout(h http.Header) (time.Duration, error) {
	values := h.Values(headerTimeout)
	if len(values) == 0 {
		return defaultTimeout, nil
	}
	if len(values) > 1 {
		return 0, fmt.Errorf("%s is given %d times", headerTimeout, len(values))
	}
	// ParseFloat alone would also accept exponents, hexadecimal numbers, infinities and underscores.
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, fmt.Errorf("%s %q is not a decimal number of seconds", headerTimeout, values[0])
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q is not a decimal number of seconds", headerTimeout, values[0])
	}
	timeout := time.Duration(math.Min(seconds, maxTimeout.Seconds()) * float64(time.Second))
	if timeout <= 0 {
		return 0, fmt.Errorf("%s must be more than zero", headerTimeout)
	}
	return timeout, nil
}

// parseKey returns the idempotency key without the quotes of a structured string. It generates one if the method is not
// idempotent and the header is not set.
func parseKey(h http.Header, idempotent bool) (string, error) {
	values := h.Values(headerKey)
	switch len(values) {
	case 0:
		if idempotent {
			return "", nil
		}
		return uuid.NewString(), nil
	case 1:
	default:
		return "", fmt.Errorf("%s is given %d times", headerKey, len(values))
	}
	key := values[0]
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > maxKey {
		return "", fmt.Errorf("%s must have 1 to %d bytes", headerKey, maxKey)
	}
	if strings.ContainsFunc(key, func(c rune) bool { return c <= ' ' || c > '~' || c == '"' || c == '\\' }) {
		return "", fmt.Errorf("%s contains characters other than visible ASCII", headerKey)
	}
	return key, nil
}

// parseLabel returns the value of a header that may be set at most once, or an empty string if it is not set.
func parseLabel(h http.Header, name string) (string, error) {
	values := h.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", fmt.Errorf("%s is given %d times", name, len(values))
	case values[0] == "" || len(values[0]) > maxLabel || !utf8.ValidString(values[0]):
		return "", fmt.Errorf("%s must be valid UTF-8 of 1 to %d bytes", name, maxLabel)
	default:
		return values[0], nil
	}
}

func remoteHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

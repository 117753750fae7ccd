package clientapi

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stepwick/internal/apierror"
)

const (
	maxIDLength   = 128 // bytes of a request id
	maxNameLength = 128 // bytes of the name of a service, region or zone
	bearerPrefix  = "Bearer "
)

// newRequestID returns the id of a request whose caller gave none.
func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return "sw-" + hex.EncodeToString(raw[:])
}

// requestID returns the id that the caller gave, or a new one. A malformed id is
// replaced and reported as BadField.
func requestID(header http.Header) (string, *apierror.Error) {
	given := header.Values(HeaderRequestID)
	switch {
	case len(given) == 0:
		return newRequestID(), nil
	case len(given) > 1 || !isValidRequestID(given[0]):
		return newRequestID(), apierror.Errorf(apierror.BadField, "%s is not one id of 1 to %d letters, digits or ._:-", HeaderRequestID, maxIDLength)
	}
	return given[0], nil
}

func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, char := range []byte(id) {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case char == '.', char == '_', char == ':', char == '-':
		default:
			return false
		}
	}
	return true
}

// headerSize returns the size of the request line and the header fields in bytes,
// with a colon, a space and a line break for each field.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// bearerKey returns the caller's API key, or MissingKey.
func bearerKey(header http.Header) (string, *apierror.Error) {
	given := header.Values("Authorization")
	if len(given) != 1 || !strings.HasPrefix(given[0], bearerPrefix) {
		return "", apierror.Errorf(apierror.MissingKey, "send one Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(given[0][len(bearerPrefix):])
	if key == "" {
		return "", apierror.Errorf(apierror.MissingKey, "the key is empty")
	}
	return key, nil
}

// parseDeadline checks a deadline that a caller gave, or returns BadDeadline.
func (l Limits) parseDeadline(milliseconds float64) (time.Duration, *apierror.Error) {
	if math.IsNaN(milliseconds) || milliseconds < 1 || milliseconds > float64(l.DeadlineMax.Milliseconds()) || milliseconds != math.Trunc(milliseconds) {
		return 0, apierror.Errorf(apierror.BadDeadline, "a deadline is a whole number of milliseconds from 1 to %d", l.DeadlineMax.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// headerDeadline returns the deadline in the header, relative to the arrival, and
// whether the caller gave one; else the default.
func (l Limits) headerDeadline(header http.Header) (timeout time.Duration, given bool, apiErr *apierror.Error) {
	values := header.Values(HeaderDeadline)
	if len(values) == 0 {
		return l.DeadlineDefault, false, nil
	}
	milliseconds, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 {
		timeout, apiErr = l.parseDeadline(math.NaN())
		return timeout, true, apiErr
	}
	timeout, apiErr = l.parseDeadline(float64(milliseconds))
	return timeout, true, apiErr
}

// connectionHeaders are not forwarded: header fields of one connection, and the
// caller's API key. net/http sets Content-Length itself.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
	"Authorization",
}

// EndToEnd returns a copy of the header with the fields that are forwarded between
// a caller and a server: neither those of one connection (RFC 9110, section
// 7.6.1), nor the caller's API key, nor stepwick's own.
func EndToEnd(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, options := range header.Values("Connection") {
		for _, name := range strings.Split(options, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if strings.HasPrefix(name, "Stepwick-") {
			delete(forwarded, name)
		}
	}
	return forwarded
}

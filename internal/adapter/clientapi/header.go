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

// newRequestID returns a random id for a request without one.
func newRequestID() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return "sw-" + hex.EncodeToString(random[:])
}

// requestID returns the id in the header, or a new one if there is none. A malformed id
// is replaced by a new one and reported as BadField.
func requestID(header http.Header) (string, *apierror.Error) {
	given := header.Values(HeaderRequestID)
	switch {
	case len(given) == 0:
		return newRequestID(), nil
	case len(given) > 1 || !isValidRequestID(given[0]):
		return newRequestID(), apierror.Errorf(apierror.BadField, "%s must be a single id of 1 to %d letters, digits or ._:-", HeaderRequestID, maxIDLength)
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

// headerSize returns the size in bytes of the method, the target, the host and the
// header fields, including a colon, a space and a line break for each field.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// bearerKey returns the client's API key, or MissingKey.
func bearerKey(header http.Header) (string, *apierror.Error) {
	given := header.Values("Authorization")
	if len(given) != 1 || !strings.HasPrefix(given[0], bearerPrefix) {
		return "", apierror.Errorf(apierror.MissingKey, "send one Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(given[0][len(bearerPrefix):])
	if key == "" {
		return "", apierror.Errorf(apierror.MissingKey, "the API key is empty")
	}
	return key, nil
}

// parseDeadline converts a client's deadline, or returns BadDeadline if it is not an
// integer from 1 to MaxDeadline.
func (l Limits) parseDeadline(milliseconds float64) (time.Duration, *apierror.Error) {
	if math.IsNaN(milliseconds) || milliseconds < 1 || milliseconds > float64(l.MaxDeadline.Milliseconds()) || milliseconds != math.Trunc(milliseconds) {
		return 0, apierror.Errorf(apierror.BadDeadline, "the deadline must be an integer number of milliseconds from 1 to %d", l.MaxDeadline.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// headerDeadline returns the deadline relative to the request's arrival, and whether
// the header contains one. If it does not, the deadline is the default.
func (l Limits) headerDeadline(header http.Header) (timeout time.Duration, given bool, apiErr *apierror.Error) {
	values := header.Values(HeaderDeadline)
	if len(values) == 0 {
		return l.DefaultDeadline, false, nil
	}
	milliseconds, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 {
		timeout, apiErr = l.parseDeadline(math.NaN())
		return timeout, true, apiErr
	}
	timeout, apiErr = l.parseDeadline(float64(milliseconds))
	return timeout, true, apiErr
}

// unforwardedHeaders are the hop-by-hop header fields and the client's API key, which
// are not forwarded. Content-Length is among them because net/http sets it.
var unforwardedHeaders = []string{
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

// EndToEndHeaders returns a copy of the header with only the fields that are forwarded
// between a client and a server. It omits hop-by-hop fields (RFC 9110, section 7.6.1),
// the client's API key and the Stepwick- fields.
func EndToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, options := range header.Values("Connection") {
		for _, name := range strings.Split(options, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if strings.HasPrefix(name, "Stepwick-") {
			delete(forwarded, name)
		}
	}
	return forwarded
}

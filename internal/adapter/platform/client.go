// Package platform reads the platform's list of servers and the servers' own status,
// over HTTP with JSON.
//
// Bodies are bounded in size and time, and each holds exactly one JSON value. An
// entry of the list that is invalid is reported and does not invalidate the others.
// The package keeps only the last list, for conditional requests; it retries
// nothing.
package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultTimeout     = time.Second
	defaultListLimit   = 8 << 20
	defaultStatusLimit = 64 << 10

	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 16 << 10
)

var (
	errBodyTooLong    = errors.New("the body is too long")
	errMultipleValues = errors.New("more than one JSON value")
)

// statusError is a response with an unexpected HTTP status.
type statusError struct{ code int }

func (e statusError) Error() string { return fmt.Sprintf("status %d", e.code) }

// Config holds a client's settings.
type Config struct {
	// URL is that of the platform's list.
	URL string
	// Bind is the local IP address of connections, empty for any.
	Bind string
	// Dial opens connections; nil for net.Dialer's DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds one response; 1 s when zero.
	Timeout time.Duration
	// ListLimit is the largest list in bytes; 8 MiB when zero.
	ListLimit int64
	// StatusLimit is the largest status of a server in bytes; 64 KiB when zero.
	StatusLimit int64
}

func (c Config) withDefaults() Config {
	c.Timeout = positiveOr(c.Timeout, defaultTimeout)
	c.ListLimit = positiveOr(c.ListLimit, defaultListLimit)
	c.StatusLimit = positiveOr(c.StatusLimit, defaultStatusLimit)
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: c.Timeout}
		if bindIP := net.ParseIP(c.Bind); bindIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: bindIP}
		}
		c.Dial = dialer.DialContext
	}
	return c
}

// positiveOr returns a value, or a default where it isn't above zero.
func positiveOr[T cmp.Ordered](value, byDefault T) T {
	var zero T
	if value > zero {
		return value
	}
	return byDefault
}

// Client reads the platform's list and the servers' status. Its methods may be
// called concurrently.
type Client struct {
	config Config
	http   *http.Client
	cached atomic.Pointer[cachedList] // nil for none
}

// New returns a client. It makes no call.
func New(config Config) *Client {
	config = config.withDefaults()
	transport := &http.Transport{
		DialContext:            config.Dial,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{config: config, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// response is a response whose body was read.
type response struct {
	statusCode int
	header     http.Header
	body       []byte
}

// get reads a URL. With an entity tag the request is conditional. The error is
// errBodyTooLong for a body over the limit, in bytes.
func (c *Client) get(ctx context.Context, url string, limit int64, etag string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	if int64(len(body)) > limit {
		return response{}, errors.Wrapf(errBodyTooLong, "over %d bytes", limit)
	}
	return response{statusCode: answer.StatusCode, header: answer.Header, body: body}, nil
}

// decodeOne decodes data that must hold exactly one JSON value.
func decodeOne(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "not the expected JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errMultipleValues
	}
	return nil
}

// Package platform reads the platform's list of servers, and the status that each server
// reports, as JSON over HTTP.
//
// Response bodies are bounded in size and time, and each must hold exactly one JSON
// value. An invalid entry of the list is reported and does not invalidate the others.
// The package caches only the last list, for conditional requests, and does not retry.
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
	errBodyTooLarge   = errors.New("response body too large")
	errMultipleValues = errors.New("response holds more than one JSON value")
)

// statusError is a response with an unexpected HTTP status.
type statusError struct{ code int }

func (e statusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.code) }

// Config holds a client's settings.
type Config struct {
	// URL is the URL of the platform's list.
	URL string
	// Bind is the local IP address of outgoing connections; empty for any. It has no effect
	// if Dial is set.
	Bind string
	// Dial opens connections; nil for net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds a request including its response body; 1 s if zero.
	Timeout time.Duration
	// ListLimit is the maximum size of a list in bytes; 8 MiB if zero.
	ListLimit int64
	// StatusLimit is the maximum size of a server's status in bytes; 64 KiB if zero.
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

// positiveOr returns value if it is positive, or else defaultValue.
func positiveOr[T cmp.Ordered](value, defaultValue T) T {
	var zero T
	if value > zero {
		return value
	}
	return defaultValue
}

// Client reads the platform's list and the servers' status. Its methods may be
// called concurrently.
type Client struct {
	config Config
	http   *http.Client
	cached atomic.Pointer[cachedList] // nil if there is none
}

// New returns a client. It sends no request.
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

// response is an HTTP response with its body read.
type response struct {
	statusCode int
	header     http.Header
	body       []byte
}

// get fetches a URL, conditionally if etag is not empty. The error wraps errBodyTooLarge
// if the body exceeds limit bytes.
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
	resp, err := c.http.Do(request)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	if int64(len(body)) > limit {
		return response{}, errors.Wrapf(errBodyTooLarge, "limit %d bytes", limit)
	}
	return response{statusCode: resp.StatusCode, header: resp.Header, body: body}, nil
}

// decodeSingleValue decodes data, which must hold exactly one JSON value.
func decodeSingleValue(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errMultipleValues
	}
	return nil
}

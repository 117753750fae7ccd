// Package internalrpc implements the peer protocol between the processes of a fleet
// over HTTP: the client pool, the server, which requires the fleet's secret, and the
// directory, which discovers processes by gossip.
//
// It doesn't retry calls and doesn't decide which processes are live; callers do.
package internalrpc

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/wire/wireconnect"
)

// PeerClient is a client for one process.
type PeerClient = wireconnect.PeerClient

const (
	secretHeader    = "Stepwick-Secret"
	maxMessageBytes = 64 << 20

	maxIdlePerHost = 4
	// clientIdleTimeout is long enough to reuse connections to cores, which are called
	// often, and short enough to close those to peers that are called rarely.
	clientIdleTimeout = 3 * time.Second
	// pingIdleTimeout is how long a connection with calls in flight may receive nothing
	// before an HTTP/2 ping is sent, and pingTimeout how long the response may take.
	pingIdleTimeout = 700 * time.Millisecond
	pingTimeout     = 700 * time.Millisecond
)

// Pool returns clients by address that share one connection pool. Calls to the
// process's own address stay in the process. Its methods may be called concurrently.
type Pool struct {
	http        *http.Client
	selfAddress string
	local       atomic.Pointer[wireconnect.PeerHandler] // nil before Bind
	shared      PeerClient
}

// Dial opens a connection like net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool of clients that send the fleet's secret; selfAddress is
// the advertised internal address of this process.
func NewPool(dial Dial, selfAddress, secret string) *Pool {
	pool := &Pool{
		selfAddress: selfAddress,
		http: &http.Client{Transport: &http.Transport{
			Protocols:           clientProtocols(),
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout},
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     clientIdleTimeout,
			DisableCompression:  true,
		}},
	}
	pool.shared = wireconnect.NewPeerClient(addressDoer{pool.http}, sharedBaseURL,
		connect.WithInterceptors(secretInterceptor(secret)),
		connect.WithReadMaxBytes(maxMessageBytes))
	return pool
}

// Bind routes calls to the process's own address directly to its handler.
func (p *Pool) Bind(local wireconnect.PeerHandler) { p.local.Store(&local) }

// Client returns a client for an internal address (ip:port); it never fails.
func (p *Pool) Client(address string) PeerClient {
	if local := p.local.Load(); local != nil && address == p.selfAddress {
		return *local
	}
	return addressClient{shared: p.shared, address: address}
}

// CloseIdle closes connections without calls in flight.
func (p *Pool) CloseIdle() { p.http.CloseIdleConnections() }

// clientProtocols returns unencrypted HTTP/2, which compresses the headers that each call
// repeats.
func clientProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// secretInterceptor adds the fleet's secret to each call.
func secretInterceptor(secret string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(secretHeader, secret)
			return next(ctx, req)
		}
	})
}

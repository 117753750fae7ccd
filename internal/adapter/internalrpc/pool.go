// Package internalrpc carries the peer protocol between the processes of a fleet,
// over HTTP: the pool of clients, the server that requires the fleet's secret, and
// the directory that discovers processes by gossip.
//
// It doesn't retry calls, and it doesn't decide which processes are live: callers
// do.
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
	// clientIdleTimeout is long enough to keep the frequent calls to cores on one
	// connection, and short enough to close those to peers that are seldom called.
	clientIdleTimeout = 3 * time.Second
	// pingIdleTimeout is how long a connection with open calls may receive nothing
	// before it is pinged, and pingTimeout how long the answer may take.
	pingIdleTimeout = 700 * time.Millisecond
	pingTimeout     = 700 * time.Millisecond
)

// Pool returns clients by address, which share their connections. Calls to the
// process's own address stay inside the process. Its methods may be called
// concurrently.
type Pool struct {
	http        *http.Client
	selfAddress string
	local       atomic.Pointer[wireconnect.PeerHandler] // nil before Bind
	shared      PeerClient
}

// Dial opens a connection, as net.Dialer's DialContext does.
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

// Bind makes calls to the process's own address go directly to its handler.
func (p *Pool) Bind(local wireconnect.PeerHandler) { p.local.Store(&local) }

// Client returns a client for an internal address (ip:port); it never fails.
func (p *Pool) Client(address string) PeerClient {
	if local := p.local.Load(); local != nil && address == p.selfAddress {
		return *local
	}
	return addressClient{shared: p.shared, address: address}
}

// CloseIdle closes connections that carry no call.
func (p *Pool) CloseIdle() { p.http.CloseIdleConnections() }

// clientProtocols is HTTP/2 without encryption, which compresses the headers that
// each call repeats.
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

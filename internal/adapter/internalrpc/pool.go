// Package internalrpc carries the peer protocol over HTTP/1.1: the pool of
// clients, the server with the fleet's secret, and the directory of processes.
package internalrpc

import (
	"compress/gzip"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/apierror"
	"stepwick/internal/wire/wireconnect"
)

// PeerClient speaks to one process.
type PeerClient = wireconnect.PeerClient

const (
	secretHeader = "Stepwick-Secret"
	messageBound = 64 << 20
	compressFrom = 16 << 10
	headerBound  = 16 << 10
	idleClient   = 3 * time.Second        // keeps the calls to cores on one connection, not those to seldom peers
	pingAfter    = 700 * time.Millisecond // without a byte from the far side while calls are open
	pingWait     = 700 * time.Millisecond
	idleServer   = 20 * time.Second
)

// Pool hands out clients by address. Calls to the process's own address stay
// inside the process.
type Pool struct {
	http   *http.Client
	own    string
	local  atomic.Pointer[wireconnect.PeerHandler]
	shared PeerClient
}

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool that dials by dial; own is the advertised internal
// address of this process.
func NewPool(dial Dial, own, secret string) *Pool {
	p := &Pool{
		own: own,
		http: &http.Client{Transport: &http.Transport{
			Protocols:           protocols(false),
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingWait},
			DialContext:         dial,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleClient,
			DisableCompression:  true,
		}},
	}
	p.shared = wireconnect.NewPeerClient(addressing{p.http}, sharedHost,
		connect.WithInterceptors(secretInterceptor(secret)),
		connect.WithReadMaxBytes(messageBound))
	return p
}

// Bind makes calls to the process's own address go straight to its handler.
func (p *Pool) Bind(local wireconnect.PeerHandler) { p.local.Store(&local) }

// Client returns a client for an internal address; it never fails.
func (p *Pool) Client(address string) PeerClient {
	if local := p.local.Load(); local != nil && address == p.own {
		return *local
	}
	return addressed{shared: p.shared, address: address}
}

// protocols is HTTP/2 without encryption, which packs headers that repeat with
// every call; a server also takes HTTP/1.1.
func protocols(one bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(one)
	return p
}

// CloseIdle closes kept-alive connections that carry no call.
func (p *Pool) CloseIdle() { p.http.CloseIdleConnections() }

func secretInterceptor(secret string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(secretHeader, secret)
			return next(ctx, req)
		}
	})
}

// Handler serves the peer protocol to callers that know the fleet's secret;
// others get apierror.BadSecret before their body is read.
func Handler(peer wireconnect.PeerHandler, secret string) http.Handler {
	path, inner := wireconnect.NewPeerHandler(peer, connect.WithReadMaxBytes(messageBound),
		connect.WithCompressMinBytes(compressFrom), fastGzip(), connect.WithInterceptors(faultInterceptor()))
	want := sha256.Sum256([]byte(secret))
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			apierror.WriteError(w, apierror.Errorf(apierror.BadSecret, "the fleet's secret does not match"), "")
			return
		}
		inner.ServeHTTP(w, r)
	}))
	return mux
}

// fastGzip packs large messages at the least effort: a core sends the same
// snapshot to many at once.
func fastGzip() connect.HandlerOption {
	return connect.WithCompression("gzip",
		func() connect.Decompressor { return &gzip.Reader{} },
		func() connect.Compressor {
			w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
			return w
		})
}

// faultInterceptor turns faults into errors of the protocol that keep their
// number.
func faultInterceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, req)
			if err == nil {
				return resp, nil
			}
			if connect.CodeOf(err) != connect.CodeUnknown {
				return nil, err
			}
			return nil, connect.NewError(connect.CodeUnavailable, apierror.From(err))
		}
	})
}

// Server returns an HTTP server for the internal listener with bounds on
// headers and idle time.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Protocols: protocols(true),
		Handler:   handler, MaxHeaderBytes: headerBound,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: idleServer,
	}
}

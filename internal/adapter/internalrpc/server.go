package internalrpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/apierror"
	"stepwick/internal/wire/wireconnect"
)

const (
	minCompressedBytes = 16 << 10
	maxHeaderBytes     = 16 << 10

	headerTimeout     = 5 * time.Second
	readTimeout       = 30 * time.Second
	serverIdleTimeout = 20 * time.Second
)

// Handler serves the peer protocol to callers that send the fleet's secret. Others
// get apierror.BadSecret before their body is read.
func Handler(peer wireconnect.PeerHandler, secret string) http.Handler {
	path, inner := wireconnect.NewPeerHandler(peer,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes),
		sharedGzip(),
		connect.WithInterceptors(errorInterceptor()))
	// Digests of equal length are compared in constant time, so that the time taken
	// shows neither the secret nor its length.
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

// errorInterceptor turns errors without a code of the protocol into ones that keep
// the number of their apierror.
func errorInterceptor() connect.Interceptor {
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

// Server returns an HTTP server for the internal listener, with limits on headers
// and idle time.
func Server(handler http.Handler) *http.Server {
	return &http.Server{
		Protocols:         serverProtocols(),
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
}

// serverProtocols is HTTP/2 without encryption, and HTTP/1.1.
func serverProtocols() *http.Protocols {
	protocols := clientProtocols()
	protocols.SetHTTP1(true)
	return protocols
}

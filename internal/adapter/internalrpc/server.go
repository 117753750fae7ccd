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

// Handler returns a handler of the peer protocol. Callers that don't send the fleet's
// secret get apierror.BadSecret before their request body is read.
func Handler(peer wireconnect.PeerHandler, secret string) http.Handler {
	path, peerHandler := wireconnect.NewPeerHandler(peer,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes),
		sharedGzip(),
		connect.WithInterceptors(errorInterceptor()))
	// Comparing digests of equal length in constant time reveals neither the secret nor
	// its length.
	wantDigest := sha256.Sum256([]byte(secret))
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gotDigest := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if subtle.ConstantTimeCompare(wantDigest[:], gotDigest[:]) != 1 {
			apierror.WriteError(w, apierror.Errorf(apierror.BadSecret, "the fleet's secret does not match"), "")
			return
		}
		peerHandler.ServeHTTP(w, r)
	}))
	return mux
}

// errorInterceptor converts errors without a Connect code into CodeUnavailable errors whose
// text holds the number of the apierror.
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

// Server returns an HTTP server for the internal listener, with limits on the header size
// and timeouts for headers, requests and idle connections.
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

// serverProtocols returns unencrypted HTTP/2 and HTTP/1.1.
func serverProtocols() *http.Protocols {
	protocols := clientProtocols()
	protocols.SetHTTP1(true)
	return protocols
}

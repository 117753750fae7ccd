// Package upstream sends requests to HTTP/1.1 servers over pooled connections, and
// checks that every response belongs to its request.
//
// It does not use net/http's Transport, which retries a request by itself when an idle
// connection has failed, requests compression, and accepts whatever arrives on a
// connection as the next response. Here each connection has one reader goroutine,
// which detects bytes that arrive while no request is in flight. Headers are written
// and responses parsed by net/http.
//
// Invariants: a request is written at most once; a Failure whose Sent is false means
// that the server received no part of it; a connection is reused only after its last
// response was read to the end. The package neither selects servers nor retries a
// request of which any part was sent.
package upstream

import (
	"context"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Server is the name of a server and its address, ip:port.
type Server struct{ Name, Address string }

// Client sends requests and keeps idle connections to servers. It is safe for
// concurrent use.
type Client struct {
	config Config
	pools  atomic.Pointer[map[string]*pool] // by server name; copied on write
}

// New returns a client without open connections.
func New(config Config) *Client {
	c := &Client{config: config.withDefaults()}
	c.pools.Store(&map[string]*pool{})
	return c
}

// Send sends a request to a server and returns its response once the header has
// arrived. The context limits the attempt until the response is closed.
func (c *Client) Send(ctx context.Context, server Server, request *Request) (*Response, *Failure) {
	serverPool := c.pool(server)
	for {
		idle := serverPool.get(c.config.Clock.Now())
		if idle == nil {
			break
		}
		response, failure := c.attempt(ctx, serverPool, idle, request)
		if failure != nil && failure.Kind == NotSent {
			continue
		}
		return response, failure
	}
	fresh, failure := c.connect(ctx, server)
	if failure != nil {
		return nil, failure
	}
	return c.attempt(ctx, serverPool, fresh, request)
}

// Preconnect opens a connection to a server and keeps it idle for a later request.
func (c *Client) Preconnect(ctx context.Context, server Server) *Failure {
	fresh, failure := c.connect(ctx, server)
	if failure != nil {
		return failure
	}
	fresh.idleUntil = c.config.Clock.Now().Add(c.config.IdleTimeout)
	c.pool(server).put(fresh)
	return nil
}

func (c *Client) connect(ctx context.Context, server Server) (*conn, *Failure) {
	dialCtx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	raw, err := c.config.Dial(dialCtx, "tcp", server.Address)
	switch {
	case err == nil:
		onUnacknowledged := func() { c.config.OnUnacknowledged(server.Name) }
		return newConn(raw, c.config.MaxHeaderBytes, onUnacknowledged), nil
	case ctx.Err() != nil:
		return nil, &Failure{Kind: Cancelled, Cause: ctx.Err()}
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, &Failure{Kind: Refused, Cause: err}
	}
	return nil, &Failure{Kind: Unresponsive, Cause: err}
}

// attempt sends a request over a connection. A failure of kind NotSent means that the
// connection had ended before anything was written.
func (c *Client) attempt(ctx context.Context, serverPool *pool, connection *conn, request *Request) (*Response, *Failure) {
	if ctx.Err() != nil {
		connection.close()
		return nil, &Failure{Kind: Cancelled, Cause: ctx.Err()}
	}
	// Register the exchange before checking the reader goroutine, so that the exchange
	// fails if the connection ends after the check.
	current := newExchange(request)
	connection.exchanges <- current
	if connection.ended() {
		connection.close()
		return nil, &Failure{Kind: NotSent, Cause: errConnectionEnded}
	}
	stop := context.AfterFunc(ctx, connection.close)
	if err := connection.write(request); err != nil {
		stop()
		connection.close()
		return nil, failureAfterSend(ctx, Lost, err)
	}
	received, failure := connection.awaitResponse(ctx, current) //nolint:bodyclose // Response.Close ends the connection or keeps it
	if failure != nil {
		stop()
		connection.close()
		return nil, failure
	}
	return &Response{
		Status:   received.StatusCode,
		Header:   received.Header,
		received: received,
		conn:     connection,
		exchange: current,
		pool:     serverPool,
		client:   c,
		ctx:      ctx,
		stop:     stop,
	}, nil
}

package clientapi

import (
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"stepwick/internal/adapter/listen"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/stage"
)

// Route declares one call of the API. A Path that ends in a slash matches all paths
// below it.
type Route struct {
	Method   string // "" for any
	Path     string
	NeedsKey bool // the request must carry a tenant's API key
	Help     string
	serve    func(*exchange) *apierror.Error
}

// Routes returns the calls of the API.
func Routes() []Route {
	return []Route{
		{
			Method:   http.MethodGet,
			Path:     "/v1/connect",
			NeedsKey: true,
			Help:     "Returns the nodes that the client should use, nearest ready ones first.",
			serve:    serveConnect,
		},
		{
			Method:   http.MethodPost,
			Path:     "/v1/prompt",
			NeedsKey: true,
			Help:     "Sends a prompt to a model service; the response is a stream of events.",
			serve:    servePrompt,
		},
		{
			Path:     oneShotPrefix,
			NeedsKey: true,
			Help:     "Calls a web service at most once: /v1/call/SERVICE/PATH.",
			serve:    serveOneShot,
		},
		{
			Method: http.MethodGet,
			Path:   "/readyz",
			Help:   "Whether the node accepts traffic.",
			serve:  serveReady,
		},
		{
			Method: http.MethodGet,
			Path:   "/healthz",
			Help:   "Whether the process is running.",
			serve:  serveHealth,
		},
	}
}

var routes = Routes()

// findRoute returns the route of a request, or UnknownPath or BadMethod.
func findRoute(method, path string) (Route, *apierror.Error) {
	pathExists := false
	for _, route := range routes {
		if !matchesPath(route.Path, path) {
			continue
		}
		pathExists = true
		if route.matchesMethod(method) {
			return route, nil
		}
	}
	if pathExists {
		return Route{}, apierror.Errorf(apierror.BadMethod, "method %s is not allowed", method)
	}
	return Route{}, apierror.Errorf(apierror.UnknownPath, "docs/API.md lists the calls")
}

// matchesPath reports whether path equals pattern, or is below it if pattern ends in a
// slash.
func matchesPath(pattern, path string) bool {
	return path == pattern || strings.HasSuffix(pattern, "/") && strings.HasPrefix(path, pattern)
}

func (r Route) matchesMethod(method string) bool {
	return r.Method == method || r.Method == "" || r.Method == http.MethodGet && method == http.MethodHead
}

// API is the HTTP handler for clients.
type API struct {
	limits       atomic.Pointer[Limits]
	handler      RequestHandler
	clock        clock.Clock
	mounts       map[string]http.Handler
	requestSlots chan struct{}
	bodyBudget   *stage.ByteBudget
}

// New returns an API whose requests the handler serves. The handlers in mounts serve all
// requests for their paths, and below them if the path ends in a slash; the checks and
// limits of the API do not apply to these requests.
func New(limits Limits, handler RequestHandler, clock clock.Clock, mounts map[string]http.Handler) *API {
	limits = limits.withDefaults()
	api := &API{
		handler:      handler,
		clock:        clock,
		mounts:       mounts,
		requestSlots: make(chan struct{}, limits.MaxRequests),
		bodyBudget:   stage.NewByteBudget(limits.MaxBufferedBytes),
	}
	api.limits.Store(&limits)
	return api
}

// SetDeadlines sets the maximum and the default deadline of the requests that are read
// from now on. Zero leaves a value unchanged. It must not be called concurrently with
// itself.
func (a *API) SetDeadlines(maxDeadline, defaultDeadline time.Duration) {
	next := *a.limits.Load()
	if maxDeadline > 0 {
		next.MaxDeadline = maxDeadline
	}
	if defaultDeadline > 0 {
		next.DefaultDeadline = defaultDeadline
	}
	next.DefaultDeadline = min(next.DefaultDeadline, next.MaxDeadline)
	a.limits.Store(&next)
}

// Server returns an HTTP server for the API with the timeouts of its limits.
func (a *API) Server() *http.Server {
	limits := a.limits.Load()
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		// net/http counts more than the header fields, so ServeHTTP enforces the limit.
		MaxHeaderBytes: 2 * limits.MaxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
}

// LimitConnections returns a listener that keeps at most Limits.Connections open at
// once; further connections wait to be accepted.
func (a *API) LimitConnections(listener net.Listener) net.Listener {
	return listen.LimitConnections(listener, a.limits.Load().MaxConnections)
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, apiErr := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	// A kept-alive connection still has the write deadline of the previous response.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	for path, handler := range a.mounts {
		if matchesPath(path, r.URL.Path) {
			handler.ServeHTTP(w, r)
			return
		}
	}
	current := &exchange{
		api:     a,
		limits:  a.limits.Load(),
		writer:  w,
		request: r,
		head:    Head{ID: id, Arrived: a.handler.EarliestArrival()},
	}
	defer func() { a.bodyBudget.Release(current.reservedBytes) }()
	defer current.recoverPanic()
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(deadlineAfter(current.limits.BodyTimeout))
	}
	if apiErr == nil {
		apiErr = current.serve()
	}
	if apiErr != nil {
		current.reject(apiErr)
	}
}

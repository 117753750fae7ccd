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

// Route declares one call of the API. A path that ends in a slash matches all
// paths below it.
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
			Help:     "Which nodes to talk to, nearest ready ones first.",
			serve:    serveConnect,
		},
		{
			Method:   http.MethodPost,
			Path:     "/v1/prompt",
			NeedsKey: true,
			Help:     "A prompt, answered by a stream of events.",
			serve:    servePrompt,
		},
		{
			Path:     oneShotPrefix,
			NeedsKey: true,
			Help:     "A one-shot call to a web service, at most once: /v1/call/SERVICE/PATH.",
			serve:    serveOneShot,
		},
		{
			Method: http.MethodGet,
			Path:   "/readyz",
			Help:   "Whether the node takes traffic.",
			serve:  serveReady,
		},
		{
			Method: http.MethodGet,
			Path:   "/healthz",
			Help:   "Whether the process is up.",
			serve:  serveHealth,
		},
	}
}

var routes = Routes()

// findRoute returns the route of a request, or UnknownPath or BadMethod.
func findRoute(method, path string) (Route, *apierror.Error) {
	pathFound := false
	for _, route := range routes {
		if !matchesPath(route.Path, path) {
			continue
		}
		pathFound = true
		if route.matchesMethod(method) {
			return route, nil
		}
	}
	if pathFound {
		return Route{}, apierror.Errorf(apierror.BadMethod, "%s", method)
	}
	return Route{}, apierror.Errorf(apierror.UnknownPath, "see docs/API.md for the calls")
}

// matchesPath reports whether a path is the pattern, or below it where the pattern
// ends in a slash.
func matchesPath(pattern, path string) bool {
	return path == pattern || strings.HasSuffix(pattern, "/") && strings.HasPrefix(path, pattern)
}

func (r Route) matchesMethod(method string) bool {
	return r.Method == method || r.Method == "" || r.Method == http.MethodGet && method == http.MethodHead
}

// API is the HTTP handler for callers.
type API struct {
	limits       atomic.Pointer[Limits]
	handler      RequestHandler
	clock        clock.Clock
	mounts       map[string]http.Handler
	requestSlots chan struct{}
	bodyBudget   *stage.ByteBudget
}

// New returns an API whose requests the handler serves. Mounts serve all requests
// below their paths, without the API's own rules.
func New(limits Limits, handler RequestHandler, clock clock.Clock, mounts map[string]http.Handler) *API {
	limits = limits.withDefaults()
	api := &API{
		handler:      handler,
		clock:        clock,
		mounts:       mounts,
		requestSlots: make(chan struct{}, limits.Requests),
		bodyBudget:   stage.NewByteBudget(limits.BodiesMax),
	}
	api.limits.Store(&limits)
	return api
}

// SetDeadlines sets the longest and the default deadline of the requests that are
// read from now on. Zero leaves a value as it is. It must not be called
// concurrently.
func (a *API) SetDeadlines(longest, byDefault time.Duration) {
	next := *a.limits.Load()
	if longest > 0 {
		next.DeadlineMax = longest
	}
	if byDefault > 0 {
		next.DeadlineDefault = byDefault
	}
	next.DeadlineDefault = min(next.DeadlineDefault, next.DeadlineMax)
	a.limits.Store(&next)
}

// Server returns an HTTP server for the API with the timeouts of its limits.
func (a *API) Server() *http.Server {
	limits := a.limits.Load()
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		// net/http counts more than the header fields; ServeHTTP checks the limit.
		MaxHeaderBytes: 2 * limits.HeaderMax,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
}

// LimitConnections returns a listener with at most as many connections open at
// once as the limits allow; others wait to be accepted.
func (a *API) LimitConnections(listener net.Listener) net.Listener {
	return listen.LimitConnections(listener, a.limits.Load().Connections)
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, apiErr := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	// A kept-alive connection still has the write deadline of the last answer.
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

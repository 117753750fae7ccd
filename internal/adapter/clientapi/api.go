package clientapi

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"stepwick/internal/adapter/listen"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/stage"
)

// Route declares one call. A path that ends in a slash holds for all below it.
type Route struct {
	Method string // "" for any
	Path   string
	Keyed  bool // needs a tenant's key
	Help   string
	serve  func(*exchange) *apierror.Error
}

// Routes returns the caller API's calls, each beside its handler.
func Routes() []Route {
	return []Route{
		{http.MethodGet, "/v1/connect", true, "Which nodes to talk to, nearest ready ones first.", serveConnect},
		{http.MethodPost, "/v1/prompt", true, "A prompt, answered by a stream of events.", servePrompt},
		{"", "/v1/call/", true, "A one-shot call to a web service, at most once: /v1/call/SERVICE/PATH.", serveOneShot},
		{http.MethodGet, "/readyz", false, "Whether the node takes traffic.", serveReady},
		{http.MethodGet, "/healthz", false, "Whether the process is up.", serveHealth},
	}
}

// API answers callers.
type API struct {
	limits atomic.Pointer[Limits]
	calls  Calls
	clock  clock.Clock
	mounts map[string]http.Handler
	slots  chan struct{}
	bodies *stage.ByteBudget
}

// New returns the API in front of calls. Mounts answer whatever lies below
// their path by their own rules.
func New(limits Limits, calls Calls, clock clock.Clock, mounts map[string]http.Handler) *API {
	limits = limits.withDefaults()
	a := &API{calls: calls, clock: clock, mounts: mounts, slots: make(chan struct{}, limits.Requests), bodies: stage.NewByteBudget(limits.BodiesMax)}
	a.limits.Store(&limits)
	return a
}

// Tune sets the bounds of deadlines for requests read from now on. Zero
// leaves a bound as it is. It has one caller at a time.
func (a *API) Tune(deadlineMax, deadlineDefault time.Duration) {
	next := *a.limits.Load()
	if deadlineMax > 0 {
		next.DeadlineMax = deadlineMax
	}
	if deadlineDefault > 0 {
		next.DeadlineDefault = deadlineDefault
	}
	next.DeadlineDefault = min(next.DeadlineDefault, next.DeadlineMax)
	a.limits.Store(&next)
}

// Server returns a server for the API with the bounds of its limits.
func (a *API) Server() *http.Server {
	limits := a.limits.Load()
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    2 * limits.HeaderMax,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// Bounded returns a listener with no more connections open at once than the
// limits allow; further ones wait to be accepted.
func (a *API) Bounded(listener net.Listener) net.Listener {
	return listen.LimitConnections(listener, a.limits.Load().Connections)
}

type exchange struct {
	api    *API
	limits *Limits
	writer http.ResponseWriter
	r      *http.Request
	head   Head
	read   bool
	held   int64 // bytes taken from the budget of bodies
	taken  bool
	stream *Stream
}

// ServeHTTP answers one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, apiErr := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	for path, handler := range a.mounts {
		if r.URL.Path == path || strings.HasSuffix(path, "/") && strings.HasPrefix(r.URL.Path, path) {
			handler.ServeHTTP(w, r)
			return
		}
	}
	x := &exchange{api: a, limits: a.limits.Load(), writer: w, r: r, head: Head{ID: id, Arrived: a.calls.Arrived()}}
	defer func() { a.bodies.Release(x.held) }()
	defer x.recover()
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(in(x.limits.BodyTimeout))
	}
	if apiErr == nil {
		apiErr = x.answer()
	}
	if apiErr != nil {
		x.refuse(apiErr)
	}
}

func (x *exchange) answer() *apierror.Error {
	if size := headerSize(x.r); size > x.limits.HeaderMax {
		return apierror.Errorf(apierror.HeaderTooLarge, "the header has %d bytes of at most %d", size, x.limits.HeaderMax)
	}
	route, apiErr := find(x.r.Method, x.r.URL.Path)
	if apiErr != nil {
		return apiErr
	}
	if !route.Keyed {
		x.taken = true
		return route.serve(x)
	}
	select {
	case x.api.slots <- struct{}{}:
		defer func() { <-x.api.slots }()
	default:
		return apierror.Errorf(apierror.QueueFull, "the node serves %d requests", x.limits.Requests).WithRetryAfter(time.Second)
	}
	span, given, apiErr := x.limits.headerDeadline(x.r.Header)
	if apiErr != nil {
		return apiErr
	}
	x.head.Deadline, x.head.bounded = x.head.Arrived.Add(span), given
	if !x.api.clock.Now().Before(x.head.Deadline) {
		return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed while the node stood still").WithRetryAfter(100 * time.Millisecond)
	}
	if x.head.Key, apiErr = bearerKey(x.r.Header); apiErr != nil {
		return apiErr
	}
	if apiErr = x.api.calls.Knows(&x.head); apiErr != nil {
		return apiErr
	}
	return route.serve(x)
}

func find(method, path string) (Route, *apierror.Error) {
	known := false
	for _, route := range routes {
		if route.Path != path && !(strings.HasSuffix(route.Path, "/") && strings.HasPrefix(path, route.Path)) {
			continue
		}
		known = true
		if route.Method == method || route.Method == "" || route.Method == http.MethodGet && method == http.MethodHead {
			return route, nil
		}
	}
	if known {
		return Route{}, apierror.Errorf(apierror.BadMethod, "%s", method)
	}
	return Route{}, apierror.Errorf(apierror.UnknownPath, "see docs/API.md for the calls")
}

var routes = Routes()

func (x *exchange) refuse(apiErr *apierror.Error) {
	if !x.taken {
		x.api.calls.Refused(apiErr)
	}
	if x.stream != nil && x.stream.begun {
		x.stream.cut(apiErr)
	}
	if !x.read && x.r.ContentLength != 0 || apiErr.Code == apierror.FrontLeaving {
		x.writer.Header().Set("Connection", "close")
	}
	x.writer.Header().Set(HeaderCode, strconv.FormatUint(uint64(apiErr.Code), 10))
	x.bound()
	apierror.WriteError(x.writer, apiErr, x.head.ID)
}

func (x *exchange) bound() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(in(x.limits.WriteTimeout))
}

func (x *exchange) body() ([]byte, *apierror.Error) {
	body, apiErr := x.limits.readBody(x.writer, x.r, x)
	x.read = apiErr == nil
	return body, apiErr
}

// hold takes the bytes of a body, as they arrive, from the budget of all bodies.
// They are given back when the exchange ends.
func (x *exchange) hold(bytes int) *apierror.Error {
	if !x.api.bodies.TryReserve(int64(bytes)) {
		return x.bodiesFull()
	}
	x.held += int64(bytes)
	return nil
}

func (x *exchange) bodiesFull() *apierror.Error {
	return apierror.Errorf(apierror.QueueFull, "the bodies that the node holds are at their bound of %d bytes", x.limits.BodiesMax).WithRetryAfter(time.Second)
}

func (x *exchange) context(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), deadline.Sub(x.api.clock.Now()))
}

func (x *exchange) recover() {
	panicked := recover()
	if panicked == nil {
		return
	}
	if panicked == http.ErrAbortHandler {
		panic(panicked)
	}
	x.api.calls.Broke(x.head.ID, panicked)
	x.refuse(apierror.Errorf(apierror.Internal, "see the log event of request %s", x.head.ID))
}

func serveConnect(x *exchange) *apierror.Error {
	query, err := url.ParseQuery(x.r.URL.RawQuery)
	if err != nil {
		return apierror.Errorf(apierror.BadField, "the query is malformed")
	}
	ask := &Connect{Head: x.head}
	for name, values := range query {
		if len(values) != 1 || len(values[0]) > nameMax {
			return apierror.Errorf(apierror.BadField, "%s is given more than once or over %d bytes", name, nameMax)
		}
		switch name {
		case "service":
			ask.Service = values[0]
		case "region":
			ask.Region = values[0]
		case "zone":
			ask.Zone = values[0]
		default:
			return apierror.Errorf(apierror.UnknownField, "%s", name)
		}
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	nearest, apiErr := x.api.calls.Connect(ctx, ask)
	if apiErr != nil {
		return apiErr
	}
	x.bound()
	apierror.WriteJSON(x.writer, http.StatusOK, nearest)
	return nil
}

func servePrompt(x *exchange) *apierror.Error {
	if !x.r.ProtoAtLeast(1, 1) {
		return apierror.Errorf(apierror.BadField, "a stream needs HTTP/1.1, in which a cut can be told from an end")
	}
	data, apiErr := x.body()
	if apiErr != nil {
		return apiErr
	}
	prompt, apiErr := x.limits.parsePrompt(x.head, data)
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(prompt.Deadline)
	defer cancel()
	x.stream = &Stream{writer: x.writer, control: http.NewResponseController(x.writer), id: x.head.ID, bound: x.limits.WriteTimeout}
	x.taken = true
	apiErr = x.api.calls.Prompt(ctx, prompt, x.stream)
	if apiErr == nil && !x.stream.begun {
		return apierror.Errorf(apierror.Internal, "the stream ended without an event")
	}
	return apiErr
}

func serveOneShot(x *exchange) *apierror.Error {
	if x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace {
		return apierror.Errorf(apierror.BadMethod, "%s", x.r.Method)
	}
	below := strings.TrimPrefix(x.r.URL.EscapedPath(), "/v1/call/")
	service, path, _ := strings.Cut(below, "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" || len(service) > nameMax {
		return apierror.Errorf(apierror.MissingField, "the path names no service")
	}
	body, apiErr := x.body()
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	x.taken = true
	answer, apiErr := x.api.calls.OneShot(ctx, &OneShot{Head: x.head, Service: service, Method: x.r.Method, Path: "/" + path,
		Query: x.r.URL.RawQuery, Header: EndToEnd(x.r.Header), Body: body})
	if apiErr != nil {
		return apiErr
	}
	x.pass(answer)
	return nil
}

func (x *exchange) pass(answer *Answer) {
	header := x.writer.Header()
	for name, values := range EndToEnd(answer.Header) {
		header[name] = values
	}
	header.Set(HeaderServer, answer.Server)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	switch {
	case x.r.Method == http.MethodHead:
		if length := answer.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	x.bound()
	x.writer.WriteHeader(answer.Status)
	if x.r.Method != http.MethodHead && len(answer.Body) > 0 {
		_, _ = x.writer.Write(answer.Body)
	}
}

type readyBody struct {
	Ready    bool   `json:"ready"`
	Standing string `json:"standing,omitempty"`
}

func serveReady(x *exchange) *apierror.Error {
	if apiErr := x.api.calls.Ready(); apiErr != nil {
		return apiErr
	}
	apierror.WriteJSON(x.writer, http.StatusOK, readyBody{Ready: true, Standing: x.api.calls.Standing()})
	return nil
}

func serveHealth(x *exchange) *apierror.Error {
	apierror.WriteJSON(x.writer, http.StatusOK, map[string]bool{"up": true})
	return nil
}

var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Authorization"}

// EndToEnd returns the header fields that are passed on between a caller and
// a server: neither those of one connection, nor the caller's key, nor
// stepwick's own.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	for name := range passed {
		if strings.HasPrefix(name, "Stepwick-") {
			delete(passed, name)
		}
	}
	return passed
}

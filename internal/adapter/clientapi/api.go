package clientapi

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"stepwick/internal/adapter/listen"
	"stepwick/internal/kernel"
	"stepwick/internal/stage"
)

// Route declares one call. A path that ends in a slash holds for all below it.
type Route struct {
	Method string // "" for any
	Path   string
	Keyed  bool // needs a tenant's key
	Help   string
	serve  func(*exchange) *kernel.Fault
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
	clock  kernel.Clock
	mounts map[string]http.Handler
	slots  chan struct{}
	bodies *stage.Budget
}

// New returns the API in front of calls. Mounts answer whatever lies below
// their path by their own rules.
func New(limits Limits, calls Calls, clock kernel.Clock, mounts map[string]http.Handler) *API {
	limits = limits.withDefaults()
	a := &API{calls: calls, clock: clock, mounts: mounts, slots: make(chan struct{}, limits.Requests), bodies: stage.NewBudget(limits.BodiesMax)}
	a.limits.Store(&limits)
	return a
}

// Tune sets the bounds of deadlines for requests read from now on. Zero
// leaves a bound as it is. It has one caller at a time.
func (a *API) Tune(deadlineMax, deadlineDefault kernel.Duration) {
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
	return listen.Bounded(listener, a.limits.Load().Connections)
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
	id, fault := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	_ = http.NewResponseController(w).SetWriteDeadline(kernel.Time{})
	for path, handler := range a.mounts {
		if r.URL.Path == path || strings.HasSuffix(path, "/") && strings.HasPrefix(r.URL.Path, path) {
			handler.ServeHTTP(w, r)
			return
		}
	}
	x := &exchange{api: a, limits: a.limits.Load(), writer: w, r: r, head: Head{ID: id, Arrived: a.calls.Arrived()}}
	defer func() { a.bodies.Give(x.held) }()
	defer x.recover()
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(in(x.limits.BodyTimeout))
	}
	if fault == nil {
		fault = x.answer()
	}
	if fault != nil {
		x.refuse(fault)
	}
}

func (x *exchange) answer() *kernel.Fault {
	if size := headerSize(x.r); size > x.limits.HeaderMax {
		return kernel.Refuse(kernel.HeaderTooLarge, "the header has %d bytes of at most %d", size, x.limits.HeaderMax)
	}
	route, fault := find(x.r.Method, x.r.URL.Path)
	if fault != nil {
		return fault
	}
	if !route.Keyed {
		x.taken = true
		return route.serve(x)
	}
	select {
	case x.api.slots <- struct{}{}:
		defer func() { <-x.api.slots }()
	default:
		return kernel.Refuse(kernel.QueueFull, "the node serves %d requests", x.limits.Requests).After(kernel.Second)
	}
	span, given, fault := x.limits.headerDeadline(x.r.Header)
	if fault != nil {
		return fault
	}
	x.head.Deadline, x.head.bounded = x.head.Arrived.Add(span), given
	if !x.api.clock.Now().Before(x.head.Deadline) {
		return kernel.Refuse(kernel.DeadlinePassed, "the deadline passed while the node stood still").After(100 * kernel.Millisecond)
	}
	if x.head.Key, fault = bearerKey(x.r.Header); fault != nil {
		return fault
	}
	if fault = x.api.calls.Knows(&x.head); fault != nil {
		return fault
	}
	return route.serve(x)
}

func find(method, path string) (Route, *kernel.Fault) {
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
		return Route{}, kernel.Refuse(kernel.BadMethod, "%s", method)
	}
	return Route{}, kernel.Refuse(kernel.UnknownPath, "see docs/API.md for the calls")
}

var routes = Routes()

func (x *exchange) refuse(fault *kernel.Fault) {
	if !x.taken {
		x.api.calls.Refused(fault)
	}
	if x.stream != nil && x.stream.begun {
		x.stream.cut(fault)
	}
	if !x.read && x.r.ContentLength != 0 || fault.Code == kernel.FrontLeaving {
		x.writer.Header().Set("Connection", "close")
	}
	x.writer.Header().Set(HeaderCode, strconv.FormatUint(uint64(fault.Code), 10))
	x.bound()
	kernel.ReplyFault(x.writer, fault, x.head.ID)
}

func (x *exchange) bound() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(in(x.limits.WriteTimeout))
}

func (x *exchange) body() ([]byte, *kernel.Fault) {
	body, fault := x.limits.readBody(x.writer, x.r, x)
	x.read = fault == nil
	return body, fault
}

// hold takes the bytes of a body, as they arrive, from the budget of all bodies.
// They are given back when the exchange ends.
func (x *exchange) hold(bytes int) *kernel.Fault {
	if !x.api.bodies.Take(int64(bytes)) {
		return x.bodiesFull()
	}
	x.held += int64(bytes)
	return nil
}

func (x *exchange) bodiesFull() *kernel.Fault {
	return kernel.Refuse(kernel.QueueFull, "the bodies that the node holds are at their bound of %d bytes", x.limits.BodiesMax).After(kernel.Second)
}

func (x *exchange) context(deadline kernel.Time) (kernel.Context, kernel.Cancel) {
	return kernel.WithTimeout(x.r.Context(), deadline.Sub(x.api.clock.Now()))
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
	x.refuse(kernel.Refuse(kernel.Internal, "see the log event of request %s", x.head.ID))
}

func serveConnect(x *exchange) *kernel.Fault {
	query, err := url.ParseQuery(x.r.URL.RawQuery)
	if err != nil {
		return kernel.Refuse(kernel.BadField, "the query is malformed")
	}
	ask := &Connect{Head: x.head}
	for name, values := range query {
		if len(values) != 1 || len(values[0]) > nameMax {
			return kernel.Refuse(kernel.BadField, "%s is given more than once or over %d bytes", name, nameMax)
		}
		switch name {
		case "service":
			ask.Service = values[0]
		case "region":
			ask.Region = values[0]
		case "zone":
			ask.Zone = values[0]
		default:
			return kernel.Refuse(kernel.UnknownField, "%s", name)
		}
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	nearest, fault := x.api.calls.Connect(ctx, ask)
	if fault != nil {
		return fault
	}
	x.bound()
	kernel.Reply(x.writer, http.StatusOK, nearest)
	return nil
}

func servePrompt(x *exchange) *kernel.Fault {
	if !x.r.ProtoAtLeast(1, 1) {
		return kernel.Refuse(kernel.BadField, "a stream needs HTTP/1.1, in which a cut can be told from an end")
	}
	data, fault := x.body()
	if fault != nil {
		return fault
	}
	prompt, fault := x.limits.parsePrompt(x.head, data)
	if fault != nil {
		return fault
	}
	ctx, cancel := x.context(prompt.Deadline)
	defer cancel()
	x.stream = &Stream{writer: x.writer, control: http.NewResponseController(x.writer), id: x.head.ID, bound: x.limits.WriteTimeout}
	x.taken = true
	fault = x.api.calls.Prompt(ctx, prompt, x.stream)
	if fault == nil && !x.stream.begun {
		return kernel.Refuse(kernel.Internal, "the stream ended without an event")
	}
	return fault
}

func serveOneShot(x *exchange) *kernel.Fault {
	if x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace {
		return kernel.Refuse(kernel.BadMethod, "%s", x.r.Method)
	}
	below := strings.TrimPrefix(x.r.URL.EscapedPath(), "/v1/call/")
	service, path, _ := strings.Cut(below, "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" || len(service) > nameMax {
		return kernel.Refuse(kernel.MissingField, "the path names no service")
	}
	body, fault := x.body()
	if fault != nil {
		return fault
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	x.taken = true
	answer, fault := x.api.calls.OneShot(ctx, &OneShot{Head: x.head, Service: service, Method: x.r.Method, Path: "/" + path,
		Query: x.r.URL.RawQuery, Header: EndToEnd(x.r.Header), Body: body})
	if fault != nil {
		return fault
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

func serveReady(x *exchange) *kernel.Fault {
	if fault := x.api.calls.Ready(); fault != nil {
		return fault
	}
	kernel.Reply(x.writer, http.StatusOK, readyBody{Ready: true, Standing: x.api.calls.Standing()})
	return nil
}

func serveHealth(x *exchange) *kernel.Fault {
	kernel.Reply(x.writer, http.StatusOK, map[string]bool{"up": true})
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

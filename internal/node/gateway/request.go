package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/port"
)

// Urgencies that servers are told: tenants come before routes.
const (
	leastUrgent     = 9
	routeUrgencies  = 3
	waitPart        = 4 // a request waits for room at most this part of its objective
	waitMost        = time.Second
	writeMargin     = time.Second // for the last bytes to a client after the deadline
	noSheetServices = "(none)"    // the metric's service of a request that no route took
)

// request is one client's request on its way.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	call    port.ClientRequest
	arrived time.Time

	index    *sheet.Index // the one that admitted it
	route    *sheet.NamedRoute
	tenant   string
	terms    sheet.Tenant
	service  string
	body     []byte
	held     int64
	deadline time.Time
	order    balance.Request
	runs     int // servers that may have run it
}

// ServeHTTP answers one request that came by a route.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{gateway: g, writer: w, http: r, arrived: g.clock.Now(), service: noSheetServices}
	g.newest.Store(int64(q.arrived.Sub(g.started)))
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.bodies.Release(q.held)
		g.metrics.inFlight.Dec()
		g.inFlight.Add(-1)
	}()
	defer q.recover()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	apiErr := q.admit()
	if apiErr == nil {
		apiErr = q.run()
	}
	g.metrics.ended(q.service, apiErr)
	if apiErr != nil {
		q.refuse(apiErr)
	}
}

func (q *request) recover() {
	panicked := recover()
	if panicked == nil {
		return
	}
	if panicked != http.ErrAbortHandler { //nolint:errorlint // a panic's value, as net/http compares it
		q.gateway.log.Emit(events.RequestPanicked, "request", q.call.ID, "panic", panicked)
	}
	panic(http.ErrAbortHandler)
}

func (q *request) refuse(apiErr *apierror.Error) {
	if apiErr.Code == apierror.CallerGone {
		panic(http.ErrAbortHandler)
	}
	q.gateway.log.Emit(events.RequestRefused, "request", q.call.ID, "service", q.service, "tenant", q.tenant,
		"code", uint32(apiErr.Code), "detail", apiErr.Detail)
	q.gateway.dialect.WriteError(q.writer, q.call.ID, apiErr)
}

// admit decides by the sheet in force whether the request may be served, reads
// its body, and spends from its tenant's allowance.
func (q *request) admit() *apierror.Error {
	g := q.gateway
	if g.closed.Load() {
		return apierror.Errorf(apierror.FrontLeaving, "ask another node").WithRetryAfter(notRulingPause)
	}
	var apiErr *apierror.Error
	if q.call, apiErr = g.dialect.ReadRequest(q.http); apiErr != nil {
		return apiErr
	}
	if apiErr = g.awaitRules(q.http.Context()); apiErr != nil {
		return apiErr
	}
	if apiErr = q.match(g.views.View().Index); apiErr != nil {
		return apiErr
	}
	q.bound()
	if apiErr = q.readBody(); apiErr != nil {
		return apiErr
	}
	if apiErr = q.place(); apiErr != nil {
		return apiErr
	}
	return q.spend()
}

// match finds the route and the tenant of the request in a sheet.
func (q *request) match(index *sheet.Index) *apierror.Error {
	path, _, _ := strings.Cut(q.target(), "?")
	route, found := index.Route(q.http.Host, path)
	if !found {
		return apierror.Errorf(apierror.UnknownRoute, "no route for %s%s", q.http.Host, path)
	}
	q.index, q.route = index, route
	if len(index.Sheet().Tenants) == 0 {
		return nil
	}
	name, tenant, known := "", sheet.Tenant{}, false
	if q.call.Key != "" {
		name, tenant, known = index.Tenant(q.call.Key)
	}
	switch {
	case known:
		q.tenant, q.terms = name, tenant
	case route.Public:
	case q.call.Key == "":
		return apierror.Errorf(apierror.MissingKey, "")
	default:
		return apierror.Errorf(apierror.UnknownKey, "the sheet in force has no such key")
	}
	return nil
}

// stands tells whether the sheet in force still lets the request run as it was
// admitted.
func (q *request) stands() *apierror.Error {
	if apiErr := q.gateway.rules(); apiErr != nil {
		return apiErr
	}
	index := q.gateway.views.View().Index
	if index == q.index {
		return nil
	}
	tenant, service := q.tenant, q.service
	if apiErr := q.match(index); apiErr != nil {
		return apiErr
	}
	if q.tenant != tenant || !slices.ContainsFunc(q.route.Splits, func(s sheet.Split) bool { return s.Service == service && s.Weight > 0 }) {
		return apierror.Errorf(apierror.NotRun, "the route has changed").WithRetryAfter(notRulingPause)
	}
	return nil
}

// target returns the path and query as they were received.
func (q *request) target() string {
	if strings.HasPrefix(q.http.RequestURI, "/") {
		return q.http.RequestURI
	}
	return q.http.URL.RequestURI()
}

func (q *request) bound() {
	timeout := time.Duration(q.route.TimeoutMS) * time.Millisecond
	if q.call.Deadline > 0 {
		timeout = min(timeout, q.call.Deadline)
	}
	q.deadline = q.arrived.Add(min(timeout, q.gateway.config.DeadlineMost))
	control := http.NewResponseController(q.writer)
	_ = control.SetWriteDeadline(q.deadline.Add(writeMargin))
}

func (q *request) readBody() *apierror.Error {
	r := q.http
	if r.ContentLength == 0 {
		return nil
	}
	most := q.gateway.config.BodyMax
	if limits := q.index.Sheet().Limits; limits != nil && limits.BodyBytes > 0 {
		most = int64(limits.BodyBytes)
	}
	if r.ContentLength > most {
		return apierror.Errorf(apierror.BodyTooLarge, "%d bytes of at most %d", r.ContentLength, most)
	}
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(q.gateway.clock.Now().Add(q.gateway.config.BodyTimeout))
	body, apiErr := q.readAll(most)
	if apiErr != nil {
		return apiErr
	}
	_ = control.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// readAll reads a body of at most so many bytes, and counts them against the
// bodies that the node holds.
func (q *request) readAll(most int64) ([]byte, *apierror.Error) {
	claimed := max(q.http.ContentLength, 0)
	if !q.hold(claimed) {
		return nil, q.bodiesFull()
	}
	body := make([]byte, claimed)
	if claimed > 0 {
		if _, err := io.ReadFull(q.http.Body, body); err != nil {
			return nil, q.unread(err)
		}
		return body, nil
	}
	var chunk [8 << 10]byte
	for {
		n, err := q.http.Body.Read(chunk[:])
		body = append(body, chunk[:n]...)
		switch {
		case int64(len(body)) > most:
			return nil, apierror.Errorf(apierror.BodyTooLarge, "more than %d bytes", most)
		case !q.hold(int64(n)):
			return nil, q.bodiesFull()
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, q.unread(err)
		}
	}
}

func (q *request) hold(bytes int64) bool {
	if !q.gateway.bodies.TryReserve(bytes) {
		return false
	}
	q.held += bytes
	return true
}

func (q *request) bodiesFull() *apierror.Error {
	return apierror.Errorf(apierror.QueueFull, "the bodies that the node holds are at their bound").WithRetryAfter(time.Second)
}

func (q *request) unread(err error) *apierror.Error {
	if q.http.Context().Err() != nil {
		return apierror.Errorf(apierror.CallerGone, "%v", err)
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive in time")
	}
	return apierror.Errorf(apierror.BadField, "the body is malformed")
}

// place works out what the choice of a server depends on.
func (q *request) place() *apierror.Error {
	regions, possible := homes(q.route.Homes, q.terms)
	if !possible {
		return apierror.Errorf(apierror.NoServer, "the homes of the route and of the tenant have no region in common").WithRetryAfter(time.Second)
	}
	objective := time.Duration(q.route.ObjectiveMS) * time.Millisecond
	q.order = balance.Request{
		ID: q.call.ID, Regions: regions, Urgency: urgency(q.terms.Priority, q.route.Priority),
		Route: q.route.Name, Pause: time.Duration(q.route.GapMS) * time.Millisecond,
		Own: q.call.TokensIn, Out: q.call.TokensOut, Until: q.arrived.Add(min(objective/waitPart, waitMost)),
	}
	if q.route.Affinity {
		q.order.Affinity, q.order.Shared = shared(q.call.Parts)
		q.order.Own = max(q.call.TokensIn-q.order.Shared, 0)
	}
	q.service = q.split()
	q.order.Service = q.service
	return nil
}

// homes returns the regions that may serve a request, empty for all; not
// possible where the route's and the tenant's have none in common.
func homes(route []string, tenant sheet.Tenant) (regions []string, possible bool) {
	own := tenant.Homes
	if tenant.Home != "" {
		own = append(slices.Clip(own), tenant.Home)
	}
	switch {
	case len(route) == 0:
		return own, true
	case len(own) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(own, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// urgency folds the priorities of a tenant and of a route into one of the ten
// that servers are told.
func urgency(tenant, route int) int {
	return min(tenant*routeUrgencies+min(route, routeUrgencies-1), leastUrgent)
}

// shared returns the digest and the size in tokens of what a prompt shares
// with others: all parts but the last, which is the request's or its session's
// own; a prompt of one part shares that.
func shared(parts []port.PromptPart) (digest uint64, tokens float64) {
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	for _, part := range parts {
		tokens += part.Tokens
		digest = part.ID
	}
	return digest, tokens
}

// split picks the service of a route by its weights, the same for requests that
// share a prompt.
func (q *request) split() string {
	splits := q.route.Splits
	if len(splits) == 1 {
		return splits[0].Service
	}
	key := xxhash.Sum64String(q.call.ID)
	total := 0.0
	for _, s := range splits {
		total += s.Weight
	}
	at := float64(key>>11) / (1 << 53) * total
	for _, s := range splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return splits[len(splits)-1].Service
}

// spend asks the shared tally for the request's tokens.
func (q *request) spend() *apierror.Error {
	if q.terms.Rate <= 0 {
		return nil
	}
	units := 1.0
	if q.terms.Unit != sheet.UnitRequests {
		units = q.tokens()
	}
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	part := q.gateway.config.Quota.part(units, q.terms, q.route.Priority)
	decision := q.gateway.admitter.Admit(ctx, q.tenant, units, quota.Allowance{Rate: q.terms.Rate * part, Burst: q.terms.Burst * part}, q.patience())
	if decision.Allowed {
		return nil
	}
	apiErr := apierror.Errorf(decision.Code, "%s has %.0f in a window", q.tenant, decision.Limit)
	return apiErr.WithRetryAfter(max(decision.RetryAfter, leastPause))
}

// holdPart is the part of its objective that a request may be held for the holder
// of its tenant's count: one that is let in then can still be answered in time.
const holdPart = 0.5

// patience returns how long the request may be held; 0 where its route has no
// objective.
func (q *request) patience() time.Duration {
	return time.Duration(holdPart * float64(q.route.ObjectiveMS) * float64(time.Millisecond))
}

const leastPause = 50 * time.Millisecond

func (q *request) tokens() float64 {
	switch {
	case q.call.DeclaresTokens:
		return q.call.Tokens()
	case q.terms.PlainTokens > 0:
		return q.terms.PlainTokens
	}
	return q.gateway.config.PlainTokens
}

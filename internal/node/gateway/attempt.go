package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/port"
)

// wholeMost is how much of an answer that is no stream is read before any of it
// is passed on, so that an attempt that fails until then can be repeated.
const wholeMost = 1 << 20

// run sends the request to servers until one has answered it, or it may not be
// sent any more. A nil fault means that the client got an answer.
func (q *request) run() *apierror.Error {
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	p := &passage{request: q, ctx: ctx, last: q.call.LastEventID}
	var earlier *apierror.Error
	for first := true; ; first = false {
		apiErr, again := q.attempt(ctx, p, first)
		if apiErr == nil {
			return nil
		}
		if !again {
			return q.final(p, apiErr, earlier)
		}
		earlier = apiErr
	}
}

// final returns the answer to a request that is given up. What is known of an
// earlier attempt goes before the reason why there is no further one.
func (q *request) final(p *passage, apiErr, earlier *apierror.Error) *apierror.Error {
	if q.http.Context().Err() != nil {
		apiErr = apierror.Errorf(apierror.CallerGone, "the client closed the connection")
	}
	if p.begun {
		panic(http.ErrAbortHandler)
	}
	if apiErr.Code == apierror.CallerGone {
		return apiErr
	}
	if q.runs > 0 {
		if earlier != nil && apiErr.Code != apierror.DeadlinePassed {
			apiErr = earlier
		}
		return q.unknown(apiErr)
	}
	if apiErr.Code == apierror.DeadlinePassed {
		return apierror.Errorf(apierror.NotRun, "%s", apiErr.Detail).WithRetryAfter(leastPause)
	}
	return apiErr
}

// unknown holds a fault to what is known of a request that a server may have
// run: it makes no promise.
func (q *request) unknown(apiErr *apierror.Error) *apierror.Error {
	switch apiErr.Code {
	case apierror.DeadlinePassed, apierror.OutcomeUnknown, apierror.BadAnswer:
		return apiErr
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", apiErr.Detail)
}

// attempt sends the request to one server. again tells that another may be
// tried.
func (q *request) attempt(ctx context.Context, p *passage, first bool) (apiErr *apierror.Error, again bool) {
	g := q.gateway
	given := g.dispatch.assign(ctx, q.order, first)
	if given.apiErr != nil {
		return q.ended(ctx, given.apiErr), false
	}
	outcome := balance.Outcome{}
	defer func() { g.dispatch.ended(given.attempt, outcome) }()
	if apiErr := q.stands(); apiErr != nil {
		return apiErr, false
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := q.watchStall(q.runs+1, cancel)
	answer, failure := g.client.Send(sending, given.server, q.outgoing(given.server, p.last))
	watch.Stop()
	if failure != nil {
		if failure.Kind == upstream.Withdrawn && ctx.Err() == nil {
			failure = &upstream.Failure{Kind: upstream.Lost, Sent: true, Cause: errStalled}
		}
		g.metrics.attempts.WithLabelValues(q.service, string(failure.Kind)).Inc()
		return q.failed(ctx, given.server, failure, &outcome)
	}
	defer answer.Close()
	said := g.dialect.ReadResponse(answer.Status, answer.Header)
	if said.NotExecuted || said.WrongServer {
		g.metrics.attempts.WithLabelValues(q.service, "rejected").Inc()
		outcome.Rejected, outcome.Replaced = !said.WrongServer, said.WrongServer
		_, _ = io.CopyN(io.Discard, answer, rejectionMost)
		return q.rejected(given.server, said)
	}
	q.runs++
	apiErr, again = p.pass(answer, given.attempt)
	outcome.OK, outcome.Failed = apiErr == nil, apiErr != nil && ctx.Err() == nil && !p.clientGone
	outcome.Erred = outcome.OK && answer.Status >= http.StatusInternalServerError
	if again {
		q.exclude(given.server)
		again = q.mayRepeat()
	}
	return apiErr, again
}

// errStalled is the cause of an attempt that was given up because nothing came.
var errStalled = errors.New("the server was silent for too long")

const (
	// A server may be silent on a repeatable request, before its answer or within
	// a stream, for twice the route's objective or pause until another is tried.
	stallFactor = 2
	stallLeast  = 700 * time.Millisecond
	stallNever  = time.Hour
)

// stallAfter returns how long a server may be silent until another is tried,
// when so many servers were sent the request; very long where no further one
// may be.
func (q *request) stallAfter(sent int) time.Duration {
	if !q.route.Idempotent() || sent >= max(q.route.Attempts, 1) || q.gateway.config.Balance.Off[balance.SecondAttempts] {
		return stallNever
	}
	span := max(q.route.ObjectiveMS, q.route.GapMS)
	return max(stallFactor*time.Duration(span)*time.Millisecond, stallLeast)
}

// watchStall calls stop unless something comes in time.
func (q *request) watchStall(sent int, stop func()) *time.Timer {
	return time.AfterFunc(q.stallAfter(sent), stop)
}

// rejectionMost bounds what is read of an answer that says that the request was
// not run.
const rejectionMost = 64 << 10

// outgoing builds the message for a server: as the client sent it, but for the
// headers that concern one connection and what the dialect adds or takes away.
func (q *request) outgoing(server upstream.Server, lastEventID string) *upstream.Request {
	header := q.http.Header.Clone()
	dropHopHeaders(header)
	q.gateway.dialect.SetAttemptHeaders(header, port.AttemptMetadata{
		Server: server.Name, Tenant: q.tenant, TimeLeft: q.deadline.Sub(q.gateway.clock.Now()),
		Priority: q.order.Urgency, LastEventID: lastEventID,
	})
	id := q.call.ID
	return &upstream.Request{
		Method: q.http.Method, Target: q.target(), Host: q.http.Host, Header: header, Body: q.body,
		Matches: func(status int, header http.Header) bool {
			return q.gateway.dialect.ReadResponse(status, header).RequestID == id
		},
	}
}

// failed decides on an attempt without an answer.
func (q *request) failed(ctx context.Context, server upstream.Server, failure *upstream.Failure, outcome *balance.Outcome) (apiErr *apierror.Error, again bool) {
	outcome.Refused = failure.Kind == upstream.Refused
	outcome.Silent = failure.Kind == upstream.Silent
	outcome.Failed = failure.Kind == upstream.Unsent || failure.Kind == upstream.Lost || failure.Kind == upstream.Garbled
	if failure.Sent {
		q.runs++
		q.order.Repeat = true
	}
	if ctx.Err() != nil {
		return q.ended(ctx, nil), false
	}
	q.exclude(server)
	if !failure.Sent {
		return apierror.Errorf(apierror.NotRun, "%s", failure).WithRetryAfter(leastPause), true
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", failure), q.mayRepeat()
}

// rejected decides on an attempt that the server did not run.
func (q *request) rejected(server upstream.Server, said port.ResponseMetadata) (apiErr *apierror.Error, again bool) {
	q.exclude(server)
	q.order.Repeat = true
	why := "the server is full"
	if said.WrongServer {
		why = "the server is gone; another one has its address"
	}
	return apierror.Errorf(apierror.NotRun, "%s", why).WithRetryAfter(rejectedPause), true
}

const rejectedPause = 150 * time.Millisecond

// ended says why a context has ended, or keeps the fault where it has not.
func (q *request) ended(ctx context.Context, apiErr *apierror.Error) *apierror.Error {
	switch {
	case q.http.Context().Err() != nil:
		return apierror.Errorf(apierror.CallerGone, "the client closed the connection")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || apiErr == nil:
		return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed before an answer")
	}
	return apiErr
}

func (q *request) exclude(server upstream.Server) {
	q.order.Tried = append(q.order.Tried, server.Name)
}

// mayRepeat tells whether a request that a server may have run may be sent to
// another one.
func (q *request) mayRepeat() bool {
	q.order.Repeat = true
	return q.route.Idempotent() && q.runs < max(q.route.Attempts, 1)
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

func dropHopHeaders(header http.Header) {
	for _, named := range header["Connection"] {
		for _, name := range splitList(named) {
			if !slices.Contains(keptHeaders, http.CanonicalHeaderKey(name)) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// keptHeaders are passed on even where a Connection header names them.
var keptHeaders = []string{"Host", "Content-Type"}

package front

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
)

const (
	// unknownService is the service label of requests whose service is not known.
	unknownService = "unknown"

	// shortRetryAfter is the least time after which a caller may retry where a
	// retry may succeed soon, and defaultRetryAfter elsewhere.
	shortRetryAfter   = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// call is one request from its admission to its result. It belongs to the
// caller's goroutine, but for the part that the callRegistry shares.
type call struct {
	runningCall
	front      *Front
	id         string
	service    string // the service label of its metrics
	arrived    time.Time
	lastServer string // the server of its last attempt
	request    route.Request
}

// Prompt serves one streamed prompt. An error before the first event is the
// answer; one after it ends the stream.
func (f *Front) Prompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	accepted := f.newCall(&prompt.Head, prompt.Service, prompt.Region, prompt.Home)
	if prompt.Prefix != "" {
		// Zero means that a request has no prefix.
		accepted.request.Prefix = max(xxhash.Sum64String(prompt.Service+"\x00"+prompt.Prefix), 1)
	}
	return accepted.serve(ctx, sheet.KindModel, prompt.Tokens(), func(ctx context.Context) *apierror.Error {
		return accepted.retryPrompt(ctx, prompt, stream)
	})
}

// OneShot serves one call that runs at most once. OutcomeUnknown means that it
// may have run.
func (f *Front) OneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Answer, *apierror.Error) {
	accepted := f.newCall(&request.Head, request.Service, request.Region, "")
	var answer *clientapi.Answer
	apiErr := accepted.serve(ctx, sheet.KindWeb, 0, func(ctx context.Context) (apiErr *apierror.Error) {
		answer, apiErr = accepted.retryOneShot(ctx, request)
		return apiErr
	})
	return answer, apiErr
}

func (f *Front) newCall(head *clientapi.Head, service, region, home string) *call {
	if region == "" {
		region = f.config.Region
	}
	return &call{
		runningCall: runningCall{apiKey: head.Key},
		front:       f,
		id:          head.ID,
		service:     unknownService,
		arrived:     head.Arrived,
		request: route.Request{
			Service:    service,
			FromRegion: region,
			HomeRegion: home,
			Deadline:   head.Deadline,
		},
	}
}

// serve admits the call, runs it and records its result. Tokens is its cost, zero
// for that of its service.
func (c *call) serve(ctx context.Context, kind string, tokens float64, run func(context.Context) *apierror.Error) *apierror.Error {
	c.front.calls.enter()
	defer c.front.calls.leave()
	apiErr := c.admit(ctx, kind, tokens)
	if apiErr == nil {
		ctx = c.front.calls.register(ctx, &c.runningCall)
		defer c.front.calls.deregister(&c.runningCall)
		c.front.metrics.inFlight.Inc()
		defer c.front.metrics.inFlight.Dec()
		apiErr = run(ctx)
	}
	c.record(Entry{Outcome: c.outcome(apiErr)})
	c.front.metrics.countResult(c.service, apiErr)
	c.logResult(apiErr)
	return apiErr
}

// record adds an entry on this call to the journal.
func (c *call) record(entry Entry) {
	entry.ID = c.id
	entry.At = c.front.clock.Now()
	c.front.requestLog.record(entry)
}

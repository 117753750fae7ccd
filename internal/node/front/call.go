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
	// unknownService is the metric label of requests whose service is unknown.
	unknownService = "unknown"

	// shortRetryAfter is the minimum time until a retry if the cause is expected to
	// be short-lived; defaultRetryAfter applies otherwise.
	shortRetryAfter   = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// call is one request from its admission to its result. Only the goroutine that
// serves the request uses it, except for runningCall, which callRegistry shares.
type call struct {
	runningCall
	front      *Front
	id         string
	service    string // service label of the metrics
	arrived    time.Time
	lastServer string // server of the last attempt
	request    route.Request
}

// Prompt serves a prompt and streams the answer. An error before the first event
// becomes the answer; a later one aborts the stream.
func (f *Front) Prompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	promptCall := f.newCall(&prompt.Head, prompt.Service, prompt.Region, prompt.HomeRegion)
	if prompt.Prefix != "" {
		// Zero is reserved for requests without a prefix.
		promptCall.request.Prefix = max(xxhash.Sum64String(prompt.Service+"\x00"+prompt.Prefix), 1)
	}
	return promptCall.serve(ctx, sheet.KindModel, prompt.Tokens(), func(ctx context.Context) *apierror.Error {
		return promptCall.retryPrompt(ctx, prompt, stream)
	})
}

// OneShot serves a call that a server executes at most once. OutcomeUnknown means
// that it may have been executed.
func (f *Front) OneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Response, *apierror.Error) {
	oneShotCall := f.newCall(&request.Head, request.Service, request.Region, "")
	var answer *clientapi.Response
	apiErr := oneShotCall.serve(ctx, sheet.KindWeb, 0, func(ctx context.Context) (apiErr *apierror.Error) {
		answer, apiErr = oneShotCall.retryOneShot(ctx, request)
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

// serve admits the call, runs it and records its result. The argument tokens is
// the cost of the call; zero stands for the cost of a one-shot call to its service.
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
	c.record(JournalEntry{Outcome: c.outcome(apiErr)})
	c.front.metrics.countResult(c.service, apiErr)
	c.logResult(apiErr)
	return apiErr
}

// record adds an entry for this call to the journal.
func (c *call) record(entry JournalEntry) {
	entry.ID = c.id
	entry.Time = c.front.clock.Now()
	c.front.requestLog.record(entry)
}

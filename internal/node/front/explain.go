package front

import (
	"context"
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
)

const (
	// maxCandidates is the maximum number of servers recorded per choice.
	maxCandidates = 24

	explainQuestion = "explain"
	explainTimeout  = time.Second

	// attemptSucceeded is recorded in place of a kind of failure.
	attemptSucceeded = "whole"
)

// JournalEntry is one event of a request. Exactly one of the pointers is set.
type JournalEntry struct {
	ID        string // request ID
	Time      time.Time
	Admission *Admission
	Routing   *Routing
	Attempt   *Attempt
	Outcome   *Outcome
}

// Admission is the decision that precedes routing. The result and the counts of the
// quota check are copied from quota.Decision. Costs and counts are in tokens.
type Admission struct {
	Service   string  `json:"service"`
	Tenant    string  `json:"tenant,omitempty"`
	Region    string  `json:"region"`         // region of the caller
	Home      string  `json:"home,omitempty"` // only region that may serve the request; "" for any
	Version   uint64  `json:"epoch"`          // version of the configuration
	PlanTerm  uint64  `json:"plan_term"`
	Plan      uint64  `json:"plan"`
	Tokens    float64 `json:"tokens"`
	Allowed   bool    `json:"passed"`
	Estimate  float64 `json:"blend"`
	Previous  float64 `json:"prev"`
	Current   float64 `json:"cur"`
	Recent    float64 `json:"recent"`
	Limit     float64 `json:"limit"`
	OverLimit bool    `json:"marked"`
	Error     string  `json:"fault,omitempty"`
}

// Routing is one decision of the routing table.
type Routing struct {
	Server     string      `json:"server,omitempty"`
	Region     string      `json:"region,omitempty"`
	Error      string      `json:"fault,omitempty"`
	WaitedMS   float64     `json:"waited_ms"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is a server that was considered for a request.
type Candidate struct {
	Server   string  `json:"server"`
	Score    float64 `json:"score"`
	Excluded string  `json:"excluded,omitempty"` // reason why the server was not chosen; "" if it was
}

// Attempt is one attempt of a request at one server.
type Attempt struct {
	Server       string  `json:"server"`
	Result       string  `json:"ended"` // "whole" on success, otherwise the backend.FailureKind
	Detail       string  `json:"detail,omitempty"`
	Events       int     `json:"events,omitempty"`
	FirstEventMS float64 `json:"first_event_ms,omitempty"`
	TookMS       float64 `json:"took_ms"`
}

// Outcome is the result that was returned to the caller.
type Outcome struct {
	Code   apierror.Code `json:"code"`
	Name   string        `json:"name"`
	Detail string        `json:"detail,omitempty"`
	TookMS float64       `json:"took_ms"`
}

// Explanation is the history of one request, assembled from its journal entries.
type Explanation struct {
	RequestID string     `json:"request_id"`
	Front     string     `json:"front"`
	AtMS      int64      `json:"at_ms"` // time of the first entry, in Unix milliseconds
	Admission *Admission `json:"admission,omitempty"`
	Routings  []*Routing `json:"routings,omitempty"`
	Attempts  []*Attempt `json:"attempts,omitempty"`
	Outcome   *Outcome   `json:"outcome,omitempty"`
}

// Inspect returns information about the front as a value that can be encoded as
// JSON, or false if there is none. The only supported question is "explain", whose
// argument is a request ID: it returns the *Explanation of the latest request with
// this ID.
func (f *Front) Inspect(question, argument string) (any, bool) {
	if question != explainQuestion {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	entries, err := f.requestLog.find(ctx, argument)
	if err != nil {
		return nil, false
	}
	var explanation *Explanation
	for _, entry := range entries {
		explanation = explanation.withEntry(entry, f.config.Name)
	}
	return explanation, explanation != nil
}

// withEntry returns the explanation with an entry added. An admission is the first
// entry of a request, so it starts a new explanation.
func (e *Explanation) withEntry(entry JournalEntry, front string) *Explanation {
	if e == nil || entry.Admission != nil {
		e = &Explanation{RequestID: entry.ID, Front: front, AtMS: entry.Time.UnixMilli()}
	}
	switch {
	case entry.Admission != nil:
		e.Admission = entry.Admission
	case entry.Routing != nil:
		e.Routings = append(e.Routings, entry.Routing)
	case entry.Attempt != nil:
		e.Attempts = append(e.Attempts, entry.Attempt)
	case entry.Outcome != nil:
		e.Outcome = entry.Outcome
	}
	return e
}

// setQuotaDecision copies the values of a quota decision.
func (a *Admission) setQuotaDecision(decision quota.Decision) {
	a.Allowed = decision.Allowed
	a.OverLimit = decision.OverLimit
	a.Estimate = decision.Estimate
	a.Previous = decision.Previous
	a.Current = decision.Current
	a.Recent = decision.Recent
	a.Limit = decision.Limit
}

func routingRecord(choice route.Choice, waited time.Duration) *Routing {
	routing := &Routing{
		Server:   choice.Server,
		Region:   choice.Region,
		WaitedMS: milliseconds(waited),
	}
	if choice.Err != nil {
		routing.Error = choice.Err.Error()
	}
	for _, candidate := range choice.Candidates[:min(len(choice.Candidates), maxCandidates)] {
		routing.Candidates = append(routing.Candidates, Candidate{
			Server:   candidate.Server,
			Score:    candidate.Score,
			Excluded: candidate.Excluded,
		})
	}
	return routing
}

func attemptRecord(server string, failure *backend.Failure, took time.Duration) *Attempt {
	attempt := &Attempt{
		Server: server,
		Result: attemptSucceeded,
		TookMS: milliseconds(took),
	}
	if failure != nil {
		attempt.Result = string(failure.Kind)
		attempt.Detail = failure.Detail
	}
	return attempt
}

// outcome returns the result of the call; a nil error stands for success.
func (c *call) outcome(apiErr *apierror.Error) *Outcome {
	outcome := &Outcome{
		Name:   apierror.OK.String(),
		TookMS: milliseconds(c.front.clock.Now().Sub(c.arrived)),
	}
	if apiErr != nil {
		outcome.Code = apiErr.Code
		outcome.Name = apiErr.Code.String()
		outcome.Detail = apiErr.Detail
	}
	return outcome
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

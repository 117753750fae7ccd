package front

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
)

const (
	journalBound   = 4 * 4096 // events of about 4,096 requests
	candidatesKept = 24
)

// Entry is one event of a request's way, as the journal keeps it. One of the
// pointers is set.
type Entry struct {
	ID        string
	At        time.Time
	Admission *Admission
	Routing   *Routing
	Attempt   *Attempt
	Outcome   *Outcome
}

// Admission is what the front decided before routing. Tokens and the tally's
// figures are in tokens.
type Admission struct {
	Service  string  `json:"service"`
	Tenant   string  `json:"tenant,omitempty"`
	Region   string  `json:"region"`
	Home     string  `json:"home,omitempty"` // the region that it is bound to
	Version  uint64  `json:"epoch"`
	PlanTerm uint64  `json:"plan_term"`
	Plan     uint64  `json:"plan"`
	Tokens   float64 `json:"tokens"`
	Passed   bool    `json:"passed"`
	Blend    float64 `json:"blend"`
	Prev     float64 `json:"prev"`
	Cur      float64 `json:"cur"`
	Recent   float64 `json:"recent"`
	Limit    float64 `json:"limit"`
	Marked   bool    `json:"marked"`
	Fault    string  `json:"fault,omitempty"`
}

// Routing is one answer of the routing table.
type Routing struct {
	Server     string      `json:"server,omitempty"`
	Region     string      `json:"region,omitempty"`
	Fault      string      `json:"fault,omitempty"`
	WaitedMS   float64     `json:"waited_ms"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is a server that was considered.
type Candidate struct {
	Server   string  `json:"server"`
	Score    float64 `json:"score"`
	Excluded string  `json:"excluded,omitempty"`
}

// Attempt is one request sent to one server.
type Attempt struct {
	Server       string  `json:"server"`
	Ended        string  `json:"ended"` // whole, or the kind of failure
	Detail       string  `json:"detail,omitempty"`
	Events       int     `json:"events,omitempty"`
	FirstEventMS float64 `json:"first_event_ms,omitempty"`
	TookMS       float64 `json:"took_ms"`
}

// Outcome is the answer that the caller got.
type Outcome struct {
	Code   apierror.Code `json:"code"`
	Name   string        `json:"name"`
	Detail string        `json:"detail,omitempty"`
	TookMS float64       `json:"took_ms"`
}

// Explanation is a request's whole way, folded from the journal.
type Explanation struct {
	RequestID string     `json:"request_id"`
	Front     string     `json:"front"`
	AtMS      int64      `json:"at_ms"`
	Admission *Admission `json:"admission,omitempty"`
	Routings  []*Routing `json:"routings,omitempty"`
	Attempts  []*Attempt `json:"attempts,omitempty"`
	Outcome   *Outcome   `json:"outcome,omitempty"`
}

// Inspect answers a question about the front with a value that has a JSON
// form. The one it knows is explain: why the request with an id went where it
// went, as an *Explanation; of several requests with one id the newest.
func (f *Front) Inspect(what, argument string) (any, bool) {
	if what != "explain" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entries, err := f.scribe.tell(ctx, argument)
	if err != nil {
		return nil, false
	}
	var told *Explanation
	for _, entry := range entries {
		told = told.with(entry, f.config.Name)
	}
	return told, told != nil
}

func (e *Explanation) with(entry Entry, front string) *Explanation {
	if e == nil || entry.Admission != nil {
		e = &Explanation{RequestID: entry.ID, Front: front, AtMS: entry.At.UnixMilli()}
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

func (a *Admission) tally(decision quota.Decision) {
	a.Passed, a.Marked = decision.Allowed, decision.OverLimit
	a.Blend, a.Prev, a.Cur, a.Recent, a.Limit = decision.Estimate, decision.Previous, decision.Current, decision.Recent, decision.Limit
}

func routingOf(choice route.Choice, waited time.Duration) *Routing {
	r := &Routing{Server: choice.Server, Region: choice.Region, WaitedMS: inMS(waited)}
	if choice.Err != nil {
		r.Fault = choice.Err.Error()
	}
	for _, c := range choice.Candidates[:min(len(choice.Candidates), candidatesKept)] {
		r.Candidates = append(r.Candidates, Candidate{c.Server, c.Score, c.Excluded})
	}
	return r
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Package history records what an outside observer of a fleet can know: what
// callers sent and received, what servers executed, how operators' orders were
// answered and which servers the platform listed. Package checker looks for
// violations in the result.
//
// All times are offsets from the start of the recording, by one monotonic clock.
// The package never reads the fleet itself. A field's JSON name is the form of
// the file ledger.json that a run leaves, and outlives a renaming in Go.
package history

import (
	"net/http"
	"time"

	"stepwick/internal/apierror"
)

// Instant is an offset from the start of the recording.
type Instant = time.Duration

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	Served            Outcome = "served"    // a complete 2xx answer, or a stream up to its final event
	Rejected          Outcome = "refused"   // a numbered error before any event
	EndedByError      Outcome = "cut_error" // a stream ended by an error event
	ConnectionBroken  Outcome = "cut_abort" // the connection broke after the request was written
	EndedWithoutFinal Outcome = "clean_end" // a stream ended cleanly without a final event
	Unsent            Outcome = "unsent"    // the connection could not be opened; nothing was written
	TimedOut          Outcome = "timed_out" // the caller's time-out passed
	Abandoned         Outcome = "gave_up"   // the caller left on purpose
	Malformed         Outcome = "malformed" // the answer was not HTTP or not in the declared form
)

// Kinds of an attempt.
const (
	KindStream = "stream"
	KindGet    = "get"
	KindPost   = "post"
)

// Kinds of a server.
const (
	KindModel = "model"
	KindWeb   = "web"
)

// States in which the platform lists a server that takes no new requests.
const (
	StateDraining = "draining"
	StateLeaving  = "leaving"
)

// Verbs of an order that the checker knows.
const (
	VerbPut      = "put"
	VerbPatch    = "patch"
	VerbEvacuate = "evacuate"
	VerbRestore  = "restore"
)

// Event is one event of a stream as a caller received it. Token, Run and Index
// come from the text that the server wrote; ID and Seq from the event's frame.
type Event struct {
	ID    string `json:"id"`
	Seq   int    `json:"seq"`
	Token string `json:"token"`
	Run   string `json:"run"`
	Index int    `json:"index"`
}

// Attempt is one request of a caller; its token is unique in the recording.
type Attempt struct {
	Token       string  `json:"token"`
	Kind        string  `json:"kind"` // KindStream, KindGet or KindPost
	Tenant      string  `json:"tenant"`
	Key         string  `json:"key,omitempty"`
	Service     string  `json:"service"`
	Front       string  `json:"front"`
	Region      string  `json:"region"`
	Tokens      float64 `json:"tokens"`
	Sent        Instant `json:"sent"`
	First       Instant `json:"first"`
	Done        Instant `json:"done"`
	Deadline    Instant `json:"deadline"`
	Outcome     Outcome `json:"end"`
	Status      int     `json:"status"`
	Code        int     `json:"code"`
	RetryAdvice string  `json:"retry,omitempty"` // the error's retry advice
	AnswerID    string  `json:"answer_id"`
	Events      []Event `json:"events,omitempty"`
	Final       bool    `json:"final"`
	EventCount  int     `json:"count"`
	BodyToken   string  `json:"body,omitempty"` // the token that the body carries
	BodyIntact  bool    `json:"whole"`          // length and digest match
	Reused      bool    `json:"kept,omitempty"` // the connection had carried another attempt before
	Written     Instant `json:"written"`        // when the request had been handed over to the system; 0 if it was not
}

// Run is one request that a server accepted.
type Run struct {
	ID        string  `json:"id"` // unique over all servers
	Server    string  `json:"server"`
	Kind      string  `json:"kind"` // KindModel or KindWeb
	Token     string  `json:"token"`
	Request   string  `json:"request"`
	Arrived   Instant `json:"arrived"`
	Ran       bool    `json:"ran"` // execution began; false if it was rejected as busy or reset before
	Done      Instant `json:"done"`
	Sent      int     `json:"sent"`
	Final     bool    `json:"final"`
	Fault     string  `json:"fault,omitempty"`
	InFlight  int     `json:"in_flight"` // at arrival, this one included
	Answered  int     `json:"answered"`  // answers of this incarnation before this request
	WarmingUp bool    `json:"cold"`
	Slots     int     `json:"slots"`
	CacheHit  bool    `json:"hit"`
}

// Order is one sending of an operator's order, with its answer.
type Order struct {
	ID          string  `json:"id"`
	Operator    string  `json:"operator"`
	Verb        string  `json:"verb"`
	Race        string  `json:"race,omitempty"` // orders of one race share it
	Base        uint64  `json:"base"`
	Front       string  `json:"front"`
	Sent        Instant `json:"sent"`
	Answered    Instant `json:"told"`
	AnswerLost  bool    `json:"lost"` // the operator did not receive the answer
	Status      int     `json:"status"`
	Code        int     `json:"code"`
	Version     uint64  `json:"epoch"`
	InForce     bool    `json:"in_force"`
	Invalid     bool    `json:"invalid,omitempty"` // must be rejected
	SheetMarker string  `json:"mark,omitempty"`    // identifies the sheet from outside: see KeyCheck and ReadBack
	Target      string  `json:"target,omitempty"`  // zone of an evacuation or restore
	Detail      string  `json:"detail,omitempty"`
}

// Acknowledged reports whether the operator received that the order is in force.
func (o Order) Acknowledged() bool { return !o.AnswerLost && o.Status == http.StatusOK && o.Code == 0 }

// ReadBack is a sheet as an operator read it.
type ReadBack struct {
	Front       string  `json:"front"`
	Sent        Instant `json:"sent"`
	Answered    Instant `json:"told"`
	Status      int     `json:"status"`
	Code        int     `json:"code"`
	Version     uint64  `json:"epoch"`
	SheetMarker string  `json:"mark"`
	Final       bool    `json:"final"` // read after the end of traffic
}

// KeyCheck is a request with a key that is in one sheet only.
type KeyCheck struct {
	Front            string  `json:"front"`
	Key              int     `json:"key"` // number k: the key is only in the sheet whose marker is k
	Sent             Instant `json:"sent"`
	Done             Instant `json:"done"`
	Status           int     `json:"status"`
	Code             int     `json:"code"`
	ReusedConnection bool    `json:"kept"` // the connection was open before
	Detail           string  `json:"detail,omitempty"`
}

// Accepted reports whether the key was accepted, even when its quota is exceeded.
func (p KeyCheck) Accepted() bool { return p.Status/100 == 2 || p.Code == int(apierror.QuotaExceeded) }

// RejectedAsUnknown reports whether the key was rejected as belonging to no tenant.
func (p KeyCheck) RejectedAsUnknown() bool { return p.Code == int(apierror.UnknownKey) }

// KeyRotation is a sheet in which key number Key replaces all other checked keys.
type KeyRotation struct {
	Key          int     `json:"key"`
	Sent         Instant `json:"sent"`
	Acknowledged Instant `json:"acked"` // zero until acknowledged
	Version      uint64  `json:"epoch"`
}

// ListingChange is a change of a server's entry in the platform's list.
type ListingChange struct {
	At     Instant `json:"at"`
	Server string  `json:"server"`
	State  string  `json:"state"`
	Zone   string  `json:"locality"`
}

// ReadinessCheck is one readiness check of a node by the platform.
type ReadinessCheck struct {
	At     Instant `json:"at"`
	Node   string  `json:"node"`
	Status int     `json:"status"` // HTTP status; 0 without an answer
}

// Action is something that the rig did to the fleet, such as a fault.
type Action struct {
	At          Instant `json:"at"`
	Description string  `json:"what"`
	Final       bool    `json:"final,omitempty"` // nothing is repaired after it
}

// Interruption is the moment at which the rig ended or suspended a node's or a
// server's process without warning, or resumed it. A SIGTERM is none.
type Interruption struct {
	At     Instant `json:"at"`
	Target string  `json:"target"`
}

// Interval is a period of time; To is zero until it ends.
type Interval struct {
	From Instant `json:"from"`
	To   Instant `json:"to"`
}

// Allowance is a tenant's quota: Rate tokens a second and Burst tokens.
type Allowance struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Recording is everything recorded in a run.
type Recording struct {
	Seed            int64                `json:"Seed"`
	Attempts        []Attempt            `json:"Attempts"`
	Runs            []Run                `json:"Runs"`
	Orders          []Order              `json:"Orders"`
	ReadBacks       []ReadBack           `json:"ReadBacks"`
	KeyChecks       []KeyCheck           `json:"Probes"`
	KeyRotations    []KeyRotation        `json:"KeyMarks"`
	ListingChanges  []ListingChange      `json:"Shows"`
	ReadinessChecks []ReadinessCheck     `json:"Ready"`
	Actions         []Action             `json:"Marks"`
	Interruptions   []Interruption       `json:"Interruptions"`
	Partitions      []Interval           `json:"Cuts"`       // some links between nodes were partitioned
	Allowances      map[string]Allowance `json:"Allowances"` // by tenant, constant through the run
	Zones           map[string]string    `json:"Localities"` // by server
	End             Instant              `json:"End"`
}

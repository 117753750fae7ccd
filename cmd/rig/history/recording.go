// Package history records what is observable of a fleet from outside: what callers
// sent and received, what servers executed, how operators' orders were answered and
// which servers the platform listed. Package checker looks for violations in the
// recording.
//
// All times are offsets from the start of the recording on one monotonic clock. The
// package never reads the state of the fleet. The JSON names are the format of the file
// ledger.json that a run writes; they don't change when a Go field is renamed.
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
	Served            Outcome = "served"    // a complete 2xx answer, or a stream with its final event
	Rejected          Outcome = "refused"   // an error with a result code before any event
	EndedByError      Outcome = "cut_error" // a stream ended by an error event, or an error with an unknown outcome
	ConnectionBroken  Outcome = "cut_abort" // the connection broke after the request was written
	EndedWithoutFinal Outcome = "clean_end" // a stream ended without an error, but without the final event
	Unsent            Outcome = "unsent"    // the connection could not be opened; nothing was written
	TimedOut          Outcome = "timed_out" // the caller's timeout expired
	Abandoned         Outcome = "gave_up"   // the caller closed the connection on purpose
	Malformed         Outcome = "malformed" // the answer or an event could not be decoded
)

// Kinds of attempts.
const (
	KindStream = "stream"
	KindGet    = "get"
	KindPost   = "post"
)

// Kinds of servers.
const (
	KindModel = "model"
	KindWeb   = "web"
)

// States in which the platform lists a server that takes no new requests.
const (
	StateDraining = "draining"
	StateLeaving  = "leaving"
)

// Verbs of orders.
const (
	VerbPut      = "put"
	VerbPatch    = "patch"
	VerbEvacuate = "evacuate"
	VerbRestore  = "restore"
)

// Event is one event of a stream as received by a caller. Token, Run and Index are
// parsed from the text that the server generated; ID and Seq are fields of the event.
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
	BodyIntact  bool    `json:"whole"`          // the digest in the body matches
	Reused      bool    `json:"kept,omitempty"` // the connection had already been used for another attempt
	Written     Instant `json:"written"`        // when the request had been written to the socket; 0 if it was not
}

// Run is one request that a server accepted.
type Run struct {
	ID        string  `json:"id"` // unique over all servers
	Server    string  `json:"server"`
	Kind      string  `json:"kind"` // KindModel or KindWeb
	Token     string  `json:"token"`
	Request   string  `json:"request"`
	Arrived   Instant `json:"arrived"`
	Ran       bool    `json:"ran"` // execution began; false if the request was rejected as busy or reset before
	Done      Instant `json:"done"`
	Sent      int     `json:"sent"`
	Final     bool    `json:"final"`
	Fault     string  `json:"fault,omitempty"`
	InFlight  int     `json:"in_flight"` // at arrival, including this request
	Answered  int     `json:"answered"`  // requests answered by this incarnation before
	WarmingUp bool    `json:"cold"`
	Slots     int     `json:"slots"`
	CacheHit  bool    `json:"hit"`
}

// Order is one transmission of an operator's order, with its answer.
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
	Invalid     bool    `json:"invalid,omitempty"` // the sheet is invalid, so the order must be rejected
	SheetMarker string  `json:"mark,omitempty"`    // identifies the sheet from outside: see KeyCheck and ReadBack
	Target      string  `json:"target,omitempty"`  // zone of an evacuation or restore
	Detail      string  `json:"detail,omitempty"`
}

// Acknowledged reports whether the operator received the acknowledgement of the order.
func (o Order) Acknowledged() bool { return !o.AnswerLost && o.Status == http.StatusOK && o.Code == 0 }

// ReadBack is one read of the sheet by an operator.
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

// KeyCheck is a request with a key that exactly one sheet contains. Its answer shows
// whether the node uses that sheet.
type KeyCheck struct {
	Front            string  `json:"front"`
	Key              int     `json:"key"` // number of the key; equals the marker of the sheet that contains it
	Sent             Instant `json:"sent"`
	Done             Instant `json:"done"`
	Status           int     `json:"status"`
	Code             int     `json:"code"`
	ReusedConnection bool    `json:"kept"` // the connection had already been used for another check
	Detail           string  `json:"detail,omitempty"`
}

// Accepted reports whether the key was accepted, also if its quota was exceeded.
func (c KeyCheck) Accepted() bool { return c.Status/100 == 2 || c.Code == int(apierror.QuotaExceeded) }

// RejectedAsUnknown reports whether the key was rejected as belonging to no tenant.
func (c KeyCheck) RejectedAsUnknown() bool { return c.Code == int(apierror.UnknownKey) }

// KeyRotation is a sheet in which key number Key replaces the previous checked key.
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

// Action is an intervention of the rig in the fleet, such as a fault.
type Action struct {
	At          Instant `json:"at"`
	Description string  `json:"what"`
	Final       bool    `json:"final,omitempty"` // no fault is repaired afterwards
}

// Interruption is a point in time at which the rig killed, suspended or resumed the
// process of a node or server. A SIGTERM does not count.
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

// Recording is the complete record of a run.
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
	Stalls          []Interval           `json:"Stalls"`     // this machine did not run the rig
	Allowances      map[string]Allowance `json:"Allowances"` // by tenant, constant during the run
	Zones           map[string]string    `json:"Localities"` // by server
	End             Instant              `json:"End"`
}

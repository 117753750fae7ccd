// Package history keeps what an outside observer of a fleet can know: what
// callers sent and got, what servers ran, what operators were told and what the
// platform showed. All instants are spans since the book was opened, by one
// monotonic clock.
package history

import (
	"maps"
	"slices"
	"time"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// At is a span since the book was opened.
type At = time.Duration

// Event is one event of a stream as a caller saw it. Token, Run and Index come
// from the text that the server wrote; ID and Seq from the event's frame.
type Event struct {
	ID    string `json:"id"`
	Seq   int    `json:"seq"`
	Token string `json:"token"`
	Run   string `json:"run"`
	Index int    `json:"index"`
}

// Ends of an attempt.
const (
	Served    = "served"    // a whole 2xx answer, or a stream up to its final event
	Refused   = "refused"   // a numbered fault before any event
	CutError  = "cut_error" // a stream ended by an error event
	CutAbort  = "cut_abort" // the connection broke after the request was written
	CleanEnd  = "clean_end" // a stream ended cleanly without a final event
	Unsent    = "unsent"    // the connection could not be opened; nothing was written
	TimedOut  = "timed_out" // the caller gave up
	GaveUp    = "gave_up"   // the caller left on purpose
	Malformed = "malformed" // the answer was no HTTP or not in the declared form
)

// Attempt is one request of a caller; its token occurs in no other.
type Attempt struct {
	Token    string  `json:"token"`
	Kind     string  `json:"kind"` // stream, get, post
	Tenant   string  `json:"tenant"`
	Key      string  `json:"key,omitempty"`
	Service  string  `json:"service"`
	Front    string  `json:"front"`
	Region   string  `json:"region"`
	Tokens   float64 `json:"tokens"`
	Sent     At      `json:"sent"`
	First    At      `json:"first"`
	Done     At      `json:"done"`
	Deadline At      `json:"deadline"` // instant
	End      string  `json:"end"`
	Status   int     `json:"status"`
	Code     int     `json:"code"`
	Retry    string  `json:"retry,omitempty"` // advice of a fault
	AnswerID string  `json:"answer_id"`
	Events   []Event `json:"events,omitempty"`
	Final    bool    `json:"final"`
	Count    int     `json:"count"`
	Body     string  `json:"body,omitempty"` // token that the body carries
	Whole    bool    `json:"whole"`          // length and digest of the body agree
}

// Run is one request that a server took.
type Run struct {
	ID       string `json:"id"` // unique over all servers
	Server   string `json:"server"`
	Kind     string `json:"kind"` // model, web
	Token    string `json:"token"`
	Request  string `json:"request"`
	Arrived  At     `json:"arrived"`
	Ran      bool   `json:"ran"` // began to run; false when refused with busy or reset before
	Done     At     `json:"done"`
	Sent     int    `json:"sent"`
	Final    bool   `json:"final"`
	Fault    string `json:"fault,omitempty"`
	InFlight int    `json:"in_flight"` // at arrival, this one included
	Answered int    `json:"answered"`  // answers of this incarnation before it
	Cold     bool   `json:"cold"`
	Slots    int    `json:"slots"`
	Hit      bool   `json:"hit"`
}

// Order is what an operator sent and was told; one entry for each sending.
type Order struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Verb     string `json:"verb"`
	Race     string `json:"race,omitempty"` // orders of one race share it
	Base     uint64 `json:"base"`
	Front    string `json:"front"`
	Sent     At     `json:"sent"`
	Told     At     `json:"told"`
	Lost     bool   `json:"lost"` // the operator did not see the answer
	Status   int    `json:"status"`
	Code     int    `json:"code"`
	Version  uint64 `json:"epoch"`
	InForce  bool   `json:"in_force"`
	Invalid  bool   `json:"invalid,omitempty"` // must be refused
	Mark     string `json:"mark,omitempty"`    // outside sign of the sheet: see Probe and ReadBack
	Target   string `json:"target,omitempty"`  // zone of an evacuation or restore
	Detail   string `json:"detail,omitempty"`
}

// Won tells whether the operator saw that the order is in force.
func (o Order) Won() bool { return !o.Lost && o.Status == 200 && o.Code == 0 }

// ReadBack is a sheet as an operator read it; Mark is its mark.
type ReadBack struct {
	Front   string `json:"front"`
	Sent    At     `json:"sent"`
	Told    At     `json:"told"`
	Status  int    `json:"status"`
	Code    int    `json:"code"`
	Version uint64 `json:"epoch"`
	Mark    string `json:"mark"`
	Final   bool   `json:"final"` // the one at day's end
}

// Probe is a request with a key that belongs to some of the sheets only.
type Probe struct {
	Front  string `json:"front"`
	Key    int    `json:"key"` // number of the key: key k is in the sheet with mark k only
	Sent   At     `json:"sent"`
	Done   At     `json:"done"`
	Status int    `json:"status"`
	Code   int    `json:"code"`
	Kept   bool   `json:"kept"` // sent on a connection that was open before
	Detail string `json:"detail,omitempty"`
}

// Passed tells whether the key was accepted.
func (p Probe) Passed() bool { return p.Status/100 == 2 || p.Code == int(apierror.QuotaExceeded) }

// Unknown tells whether the key was refused as belonging to no tenant.
func (p Probe) Unknown() bool { return p.Code == int(apierror.UnknownKey) }

// KeyMark is the acknowledged instant from which key number Key is the only one.
type KeyMark struct {
	Key     int    `json:"key"`
	Sent    At     `json:"sent"`
	Acked   At     `json:"acked"` // zero while not acknowledged
	Version uint64 `json:"epoch"`
}

// Show is a change of the platform's list.
type Show struct {
	At     At     `json:"at"`
	Server string `json:"server"`
	State  string `json:"state"`
	Zone   string `json:"locality"`
}

// Ready is one readiness check of a node.
type Ready struct {
	At     At     `json:"at"`
	Node   string `json:"node"`
	Status int    `json:"status"` // 0: no answer
}

// Mark is something the rig did.
type Mark struct {
	At    At     `json:"at"`
	What  string `json:"what"`
	Final bool   `json:"final,omitempty"` // nothing is mended after it
}

// Span is a stretch of time; To is zero while it lasts.
type Span struct {
	From At `json:"from"`
	To   At `json:"to"`
}

// Allowance is what a tenant may spend: Rate tokens a second and Burst tokens.
type Allowance struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Ledger is the whole record. Allowances hold for the whole of it.
type Ledger struct {
	Seed       int64
	Attempts   []Attempt
	Runs       []Run
	Orders     []Order
	ReadBacks  []ReadBack
	Probes     []Probe
	KeyMarks   []KeyMark
	Shows      []Show
	Ready      []Ready
	Marks      []Mark
	Cuts       []Span // some links between nodes were cut
	Allowances map[string]Allowance
	Localities map[string]string // server -> zone
	End        At
}

type pages struct {
	Ledger
	runs map[string]int
}

// Book writes a ledger from many goroutines.
type Book struct {
	clock clock.Clock
	begin time.Time
	owner *owner.Owner[pages]
}

// Open starts an empty book.
func Open(seed int64) *Book {
	clock := clock.System()
	return &Book{clock: clock, begin: clock.Now(), owner: owner.New(pages{
		Ledger: Ledger{Seed: seed, Allowances: map[string]Allowance{}, Localities: map[string]string{}},
		runs:   map[string]int{}})}
}

// Now is the span since the book was opened.
func (b *Book) Now() At { return b.clock.Now().Sub(b.begin) }

// Write changes the ledger.
func (b *Book) Write(f func(*Ledger)) { b.owner.Tell(func(p *pages) { f(&p.Ledger) }) }

// Attempt adds a finished attempt.
func (b *Book) Attempt(a Attempt) { b.Write(func(l *Ledger) { l.Attempts = append(l.Attempts, a) }) }

// Run adds a run or replaces the one of the same id.
func (b *Book) Run(r Run) {
	b.owner.Tell(func(p *pages) {
		if i, ok := p.runs[r.ID]; ok {
			p.Runs[i] = r
			return
		}
		p.runs[r.ID] = len(p.Runs)
		p.Runs = append(p.Runs, r)
	})
}

// Mark adds something the rig did, now.
func (b *Book) Mark(what string, final bool) {
	at := b.Now()
	b.Write(func(l *Ledger) { l.Marks = append(l.Marks, Mark{at, what, final}) })
}

// Cut notes that links between nodes are cut from now on, or no longer.
func (b *Book) Cut(begins bool) {
	at := b.Now()
	b.Write(func(l *Ledger) {
		if n := len(l.Cuts); n > 0 && l.Cuts[n-1].To == 0 {
			if !begins {
				l.Cuts[n-1].To = at
			}
		} else if begins {
			l.Cuts = append(l.Cuts, Span{From: at})
		}
	})
}

// Copy returns the ledger as it stands.
func (b *Book) Copy() Ledger {
	var out Ledger
	b.owner.Ask(func(p *pages) {
		out = p.Ledger
		out.Attempts = slices.Clone(p.Attempts)
		out.Runs = slices.Clone(p.Runs)
		out.Orders = slices.Clone(p.Orders)
		out.ReadBacks = slices.Clone(p.ReadBacks)
		out.Probes = slices.Clone(p.Probes)
		out.KeyMarks = slices.Clone(p.KeyMarks)
		out.Shows = slices.Clone(p.Shows)
		out.Ready = slices.Clone(p.Ready)
		out.Marks = slices.Clone(p.Marks)
		out.Cuts = slices.Clone(p.Cuts)
		out.Allowances = maps.Clone(p.Allowances)
		out.Localities = maps.Clone(p.Localities)
	})
	out.End = b.Now()
	return out
}

// Close ends the book.
func (b *Book) Close() { b.owner.End() }

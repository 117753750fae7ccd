// Package lease decides who may rule: a front's side (Holder), a core's side
// (Ledger), the rule by which an order is in force (InForce) and the rules of
// roster changes. Nothing here reads a clock, starts a goroutine or does I/O;
// every method takes the instant it is asked at.
package lease

import (
	"sort"
	"time"

	"stepwick/internal/decision/statemachine"
)

// By names what a front rules by.
type By string

// What a front rules by.
const (
	ByNone   By = "none"
	ByLease  By = "lease"  // a majority of cores renewed within the TTL
	ByRoster By = "roster" // more than half of the roster heard, none newer
)

// Verdict tells whether a front may decide by its version. Until is the earliest
// instant at which the verdict can lapse by itself, on the clock that the
// Holder was fed with; RetryAfter is when a caller should come back.
type Verdict struct {
	Ruling     bool
	By         By
	RetryAfter time.Duration
	Until      time.Time
}

type peer struct {
	incarnation uint64
	contact     time.Time
	heard       time.Time
	refused     time.Time
}

// Holder is a front's side of leases and confirmation. It has one owner.
type Holder struct {
	self        string
	ttl         time.Duration
	version     uint64
	newest      uint64
	unconfirmed bool
	cores       []string
	renewed     map[string]time.Time
	backed      map[string]uint64
	rosters     []map[string]bool
	peers       map[string]*peer
}

// NewHolder returns the side of a front that has just started: it is
// unconfirmed and does not rule.
func NewHolder(self string, ttl time.Duration) *Holder {
	return &Holder{self: self, ttl: ttl, unconfirmed: true, renewed: map[string]time.Time{},
		backed: map[string]uint64{}, peers: map[string]*peer{}}
}

// SetRoster takes the roster of the state that the front rules by and, while
// the last change of it is not settled, the one before (nil or empty
// otherwise). Only members with a front count.
func (h *Holder) SetRoster(current, prior map[string]statemachine.Member) {
	h.rosters = h.rosters[:0]
	for _, roster := range []map[string]statemachine.Member{current, prior} {
		if names := fronts(roster); len(names) > 0 {
			h.rosters = append(h.rosters, names)
		}
	}
}

// SetCores takes the names of the cores that a majority is counted over.
func (h *Holder) SetCores(cores []string) {
	h.cores = append(h.cores[:0], cores...)
	h.settle()
}

// Confirm takes up a version whose state the front holds. A lower one is
// ignored: a front never steps back.
func (h *Holder) Confirm(version uint64) {
	h.version = max(h.version, version)
	h.newest = max(h.newest, version)
	h.settle()
}

// Version returns the highest version taken up.
func (h *Holder) Version() uint64 { return h.version }

// Unconfirmed tells whether, since its start, no majority of cores has yet
// granted what this front holds. It then neither rules nor counts as heard.
func (h *Holder) Unconfirmed() bool { return h.unconfirmed }

// RenewedAt returns when the newest renewal that a core granted was sent.
func (h *Holder) RenewedAt(core string) time.Time { return h.renewed[core] }

// Renewed takes a core's granted answer: sentAt is when the request left,
// asked the version it named, learned the core's own version in the answer. An
// answer that knows a newer version than was asked gives no lease.
func (h *Holder) Renewed(core string, sentAt time.Time, asked, learned uint64) {
	h.newest = max(h.newest, learned)
	if learned > asked || asked == 0 || asked > h.version {
		return
	}
	if sentAt.After(h.renewed[core]) {
		h.renewed[core] = sentAt
	}
	h.backed[core] = max(h.backed[core], learned)
	h.settle()
}

// Asked takes a core's answer that granted nothing; it only tells of a newer
// version.
func (h *Holder) Asked(core string, learned uint64) { h.newest = max(h.newest, learned) }

// Known takes word of a version that exists, as from a peer's own ping. It is
// never a ground to rule: such a message may have lain in a buffer.
func (h *Holder) Known(version uint64) { h.newest = max(h.newest, version) }

// Heard takes a peer's answer to a ping that left at sentAt: it proves what the
// peer was at that instant or later. Answers to earlier pings than the last
// one counted are dropped.
func (h *Holder) Heard(name string, incarnation uint64, sentAt time.Time, version uint64, unconfirmed bool) {
	p := h.peer(name)
	if sentAt.Before(p.contact) {
		return
	}
	if incarnation != p.incarnation {
		p.incarnation, p.heard = incarnation, time.Time{}
	}
	p.refused, p.contact = time.Time{}, sentAt
	if unconfirmed {
		p.heard = time.Time{}
		return
	}
	h.newest = max(h.newest, version)
	p.heard = sentAt
}

// Refused takes the refusal of a connection, at the instant it was seen. It
// leaves the count only in unbroken contact: the peer was heard, or so
// refused, within the last TTL.
func (h *Holder) Refused(name string, at time.Time) {
	p := h.peer(name)
	p.heard = time.Time{}
	if p.contact.IsZero() || at.Sub(p.contact) >= h.ttl {
		p.refused = time.Time{}
		return
	}
	p.refused, p.contact = at, at
}

// Ruling tells whether the front may decide by its version at an instant. While a
// lease stands for more than half of a TTL the roster isn't looked at, which takes
// as long as it is large; it is again before the lease can lapse.
func (h *Holder) Ruling(now time.Time) Verdict {
	none := Verdict{By: ByNone, RetryAfter: h.ttl / 2}
	if h.unconfirmed || h.version == 0 {
		return none
	}
	byLease := h.leaseUntil()
	if byLease.Sub(now) > h.ttl/2 {
		return Verdict{Ruling: true, By: ByLease, Until: byLease}
	}
	byRoster := h.rosterUntil(now)
	switch {
	case now.Before(byLease):
		return Verdict{Ruling: true, By: ByLease, Until: later(byLease, byRoster)}
	case now.Before(byRoster):
		return Verdict{Ruling: true, By: ByRoster, Until: byRoster}
	}
	return none
}

func (h *Holder) peer(name string) *peer {
	p, ok := h.peers[name]
	if !ok {
		p = &peer{}
		h.peers[name] = p
	}
	return p
}

func (h *Holder) settle() {
	if !h.unconfirmed || h.version == 0 || len(h.cores) == 0 {
		return
	}
	backed := 0
	for _, core := range h.cores {
		if learned, ok := h.backed[core]; ok && learned <= h.version {
			backed++
		}
	}
	h.unconfirmed = backed < Majority(len(h.cores))
}

// leaseUntil returns when the lease of a majority of cores lapses.
func (h *Holder) leaseUntil() time.Time {
	if len(h.cores) == 0 {
		return time.Time{}
	}
	sent := make([]time.Time, 0, len(h.cores))
	for _, core := range h.cores {
		if at, ok := h.renewed[core]; ok {
			sent = append(sent, at)
		}
	}
	need := Majority(len(h.cores))
	if len(sent) < need {
		return time.Time{}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After(sent[j]) })
	return sent[need-1].Add(h.ttl)
}

// rosterUntil returns when the fallback lapses if nothing more is heard; the
// zero time when it does not hold now.
func (h *Holder) rosterUntil(now time.Time) time.Time {
	if h.newest > h.version || len(h.rosters) == 0 {
		return time.Time{}
	}
	until := time.Time{}
	for i, roster := range h.rosters {
		lapse := h.halfUntil(roster, now)
		if lapse.IsZero() {
			return lapse
		}
		if i == 0 || lapse.Before(until) {
			until = lapse
		}
	}
	return until
}

// halfUntil sweeps over the instants at which what was heard or refused
// lapses, and returns the first at which no more than half is left.
func (h *Holder) halfUntil(roster map[string]bool, now time.Time) time.Time {
	type lapse struct {
		at             time.Time
		heard, refused int
	}
	var lapses []lapse
	heard, refused := 0, 0
	if roster[h.self] {
		heard++
	}
	for name := range roster {
		p, ok := h.peers[name]
		if !ok || name == h.self {
			continue
		}
		if at := p.heard.Add(h.ttl); !p.heard.IsZero() && now.Before(at) {
			heard++
			lapses = append(lapses, lapse{at: at, heard: 1})
		}
		if at := p.refused.Add(h.ttl); !p.refused.IsZero() && now.Before(at) {
			refused++
			lapses = append(lapses, lapse{at: at, refused: 1})
		}
	}
	if heard*2 <= len(roster)-refused {
		return time.Time{}
	}
	sort.Slice(lapses, func(i, j int) bool { return lapses[i].at.Before(lapses[j].at) })
	for _, l := range lapses {
		heard, refused = heard-l.heard, refused-l.refused
		if heard*2 <= len(roster)-refused {
			return l.at
		}
	}
	return now.Add(h.ttl)
}

// Majority returns the least count that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

func fronts(roster map[string]statemachine.Member) map[string]bool {
	names := make(map[string]bool, len(roster))
	for name, member := range roster {
		if member.Front {
			names[name] = true
		}
	}
	return names
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

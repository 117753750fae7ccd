package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
)

// Holder is a front's side of leases: it records the answers of cores and peers
// and derives whether the front may serve by its version. It has one owner.
type Holder struct {
	self string
	ttl  time.Duration
	// version is the highest version whose state this front holds; newest is the
	// highest one it knows to exist.
	version uint64
	newest  uint64
	// unconfirmed is true until a majority of cores has confirmed, since this
	// start, that the version held is not outdated.
	unconfirmed bool
	cores       []string
	grants      map[string]coreGrant
	// rosters holds the names of the fronts of the current roster and, while its
	// last change is not settled, of the one before.
	rosters []map[string]bool
	peers   map[string]*peer
}

// coreGrant is what a core granted last: when the newest granted request was
// sent, and the highest version the core had learned.
type coreGrant struct {
	sentAt  time.Time
	learned uint64
}

// NewHolder returns the side of a front that has just started: it is unconfirmed
// and has no authority.
func NewHolder(self string, ttl time.Duration) *Holder {
	return &Holder{
		self:        self,
		ttl:         ttl,
		unconfirmed: true,
		grants:      map[string]coreGrant{},
		peers:       map[string]*peer{},
	}
}

// SetRoster sets the roster of the state that the front serves by and, while
// its last change is not settled, the prior one (nil or empty otherwise). Only
// members with a front count.
func (h *Holder) SetRoster(current, prior map[string]statemachine.Member) {
	h.rosters = h.rosters[:0]
	for _, roster := range []map[string]statemachine.Member{current, prior} {
		if names := frontNames(roster); len(names) > 0 {
			h.rosters = append(h.rosters, names)
		}
	}
}

// SetCores sets the names of the cores that a majority is counted over.
func (h *Holder) SetCores(cores []string) {
	h.cores = append(h.cores[:0], cores...)
	h.updateConfirmed()
}

// AdvanceTo records that the front holds the state of a version. A lower version
// than the current one is ignored: a front never steps back.
func (h *Holder) AdvanceTo(version uint64) {
	h.version = max(h.version, version)
	h.newest = max(h.newest, version)
	h.updateConfirmed()
}

// Version returns the highest version whose state the front holds.
func (h *Holder) Version() uint64 { return h.version }

// Unconfirmed reports whether, since this start, no majority of cores has yet
// granted a lease for what the front holds. Such a front has no authority, and
// its peers don't count it towards their roster majority.
func (h *Holder) Unconfirmed() bool { return h.unconfirmed }

// RenewedAt returns when the newest renewal that a core granted was sent; the
// zero time when there is none.
func (h *Holder) RenewedAt(core string) time.Time { return h.grants[core].sentAt }

// RecordGrant records a core's granted renewal: sentAt is when the request was
// sent, requested the version it named, learned the core's version in the
// answer. An answer that knows a newer version than requested gives no lease.
func (h *Holder) RecordGrant(core string, sentAt time.Time, requested, learned uint64) {
	h.ObserveVersion(learned)
	if learned > requested || requested == 0 || requested > h.version {
		return
	}
	grant := h.grants[core]
	if sentAt.After(grant.sentAt) {
		grant.sentAt = sentAt
	}
	grant.learned = max(grant.learned, learned)
	h.grants[core] = grant
	h.updateConfirmed()
}

// RecordDenial records a core's answer that granted no lease; it only makes the
// core's version known.
func (h *Holder) RecordDenial(_ string, learned uint64) { h.ObserveVersion(learned) }

// ObserveVersion records that a version exists, as from a peer's own ping. It
// never adds authority: such a message may have been delayed in a buffer.
func (h *Holder) ObserveVersion(version uint64) { h.newest = max(h.newest, version) }

// Authority returns whether the front may serve by its version at an instant. It
// is here that a lease lapses on the front's side, by time alone and without a
// message; the core's side is memberLease.active. The follower evaluates it after
// each answer and at each ping interval, and requests compare the clock with the
// result's Until.
//
// While a lease has more than half of a TTL left the roster is not evaluated,
// whose cost grows with its size; it is again before the lease can expire.
func (h *Holder) Authority(now time.Time) Authority {
	none := Authority{Source: SourceNone, RetryAfter: h.ttl / 2}
	if h.unconfirmed || h.version == 0 {
		return none
	}
	leaseExpiry := h.leaseExpiry()
	if leaseExpiry.Sub(now) > h.ttl/2 {
		return Authority{Granted: true, Source: SourceLease, Until: leaseExpiry}
	}
	rosterExpiry := h.rosterExpiry(now)
	switch {
	case now.Before(leaseExpiry):
		return Authority{Granted: true, Source: SourceLease, Until: laterOf(leaseExpiry, rosterExpiry)}
	case now.Before(rosterExpiry):
		return Authority{Granted: true, Source: SourceRoster, Until: rosterExpiry}
	}
	return none
}

// updateConfirmed ends the unconfirmed phase once a majority of cores has granted
// a lease and none of these has learned more than the front holds.
func (h *Holder) updateConfirmed() {
	if !h.unconfirmed || h.version == 0 || len(h.cores) == 0 {
		return
	}
	confirming := 0
	for _, core := range h.cores {
		if grant, ok := h.grants[core]; ok && grant.learned <= h.version {
			confirming++
		}
	}
	h.unconfirmed = confirming < Majority(len(h.cores))
}

// leaseExpiry returns when the lease of a majority of cores expires; the zero
// time when no majority has granted one.
func (h *Holder) leaseExpiry() time.Time {
	if len(h.cores) == 0 {
		return time.Time{}
	}
	sentAt := make([]time.Time, 0, len(h.cores))
	for _, core := range h.cores {
		if grant, ok := h.grants[core]; ok && !grant.sentAt.IsZero() {
			sentAt = append(sentAt, grant.sentAt)
		}
	}
	majority := Majority(len(h.cores))
	if len(sentAt) < majority {
		return time.Time{}
	}
	slices.SortFunc(sentAt, func(a, b time.Time) int { return b.Compare(a) })
	return sentAt[majority-1].Add(h.ttl)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

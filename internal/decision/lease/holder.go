package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
)

// Holder is the front's side of the lease protocol: it records the answers of
// cores and peers and derives whether the front may serve with its version. It is
// not safe for concurrent use.
type Holder struct {
	self string
	ttl  time.Duration
	// version is the highest version whose state this front holds; newestVersion is
	// the highest version that any message has shown to exist.
	version       uint64
	newestVersion uint64
	// unconfirmed is true until a majority of cores has confirmed, since the front
	// started, that the version it holds is not outdated.
	unconfirmed bool
	cores       []string
	grants      map[string]coreGrant
	// rosters has the names of the fronts on the current roster and, while the last
	// roster change is uncommitted, of those on the prior roster.
	rosters []map[string]bool
	peers   map[string]*peerState
}

// coreGrant describes the renewals that a core has granted.
type coreGrant struct {
	// sentAt is when the newest granted request was sent.
	sentAt time.Time
	// coreVersion is the highest version that the core reported with a grant.
	coreVersion uint64
	// incarnation is the disk incarnation in which the core answers, and replaced has
	// those of replaced cores that it knows.
	incarnation uint64
	replaced    map[string]uint64
}

// NewHolder returns the Holder of a front that has just started: it is unconfirmed
// and has no authority.
func NewHolder(self string, ttl time.Duration) *Holder {
	return &Holder{
		self:        self,
		ttl:         ttl,
		unconfirmed: true,
		grants:      map[string]coreGrant{},
		peers:       map[string]*peerState{},
	}
}

// SetRoster sets the roster of the state that the front holds and, while the last
// roster change is uncommitted, the prior roster (nil or empty otherwise). Only
// members that run a front are counted.
func (h *Holder) SetRoster(current, prior map[string]statemachine.Member) {
	h.rosters = h.rosters[:0]
	for _, roster := range []map[string]statemachine.Member{current, prior} {
		if names := frontNames(roster); len(names) > 0 {
			h.rosters = append(h.rosters, names)
		}
	}
}

// SetCores sets the names of the cores of which a majority must grant a lease.
func (h *Holder) SetCores(cores []string) {
	h.cores = append(h.cores[:0], cores...)
	h.updateConfirmed()
}

// AdvanceTo records that the front holds the state of a version. A version lower
// than the current one is ignored: a front never reverts to an older version.
func (h *Holder) AdvanceTo(version uint64) {
	h.version = max(h.version, version)
	h.newestVersion = max(h.newestVersion, version)
	h.updateConfirmed()
}

// Version returns the highest version whose state the front holds.
func (h *Holder) Version() uint64 { return h.version }

// Unconfirmed reports whether no majority of cores has granted a lease for the
// version that the front holds since the front started. Such a front has no
// authority, and its peers don't count it towards their roster majority.
func (h *Holder) Unconfirmed() bool { return h.unconfirmed }

// RenewedAt returns when the newest renewal granted by a core was sent; the zero
// time when the core has granted none.
func (h *Holder) RenewedAt(core string) time.Time { return h.grants[core].sentAt }

// RecordGrant records a renewal granted by a core: sentAt is when the request was
// sent, requestedVersion the version that it named, and coreVersion the version in
// the core's answer. An answer with a version newer than the requested one gives
// no lease, nor does an answer to a request for version 0 or for a version newer
// than the front holds.
func (h *Holder) RecordGrant(core string, sentAt time.Time, requestedVersion, coreVersion uint64) {
	h.ObserveVersion(coreVersion)
	if coreVersion > requestedVersion || requestedVersion == 0 || requestedVersion > h.version {
		return
	}
	grant := h.grants[core]
	if sentAt.After(grant.sentAt) {
		grant.sentAt = sentAt
	}
	grant.coreVersion = max(grant.coreVersion, coreVersion)
	h.grants[core] = grant
	h.updateConfirmed()
}

// RecordDenial records a core's answer that granted no lease. Its only effect is
// that of ObserveVersion with the core's version.
func (h *Holder) RecordDenial(_ string, coreVersion uint64) { h.ObserveVersion(coreVersion) }

// ObserveVersion records that a version exists, for example when a peer's ping
// names it. It never grants or extends authority, since such a message may have
// been delayed in a buffer.
func (h *Holder) ObserveVersion(version uint64) { h.newestVersion = max(h.newestVersion, version) }

// Authority returns whether the front may serve with its version at the given
// instant. This is where a lease expires on the front's side, by time alone and
// without a message; on the core's side it is memberLease.active. The follower
// evaluates it after each answer and at each ping interval, and requests compare
// the clock with Authority.Until.
//
// While a lease has more than half of a TTL left, the roster majority is not
// evaluated, because its cost grows with the size of the roster. It is evaluated
// again before the lease can expire.
func (h *Holder) Authority(now time.Time) Authority {
	denied := Authority{Source: SourceNone, RetryAfter: h.ttl / 2}
	if h.unconfirmed || h.version == 0 {
		return denied
	}
	leaseExpiry := h.leaseExpiry()
	if leaseExpiry.Sub(now) > h.ttl/2 {
		return Authority{Granted: true, Source: SourceLease, Until: leaseExpiry}
	}
	rosterExpiry := h.rosterExpiry(leaseExpiry, now)
	switch {
	case now.Before(leaseExpiry):
		return Authority{Granted: true, Source: SourceLease, Until: laterOf(leaseExpiry, rosterExpiry)}
	case now.Before(rosterExpiry):
		return Authority{Granted: true, Source: SourceRoster, Until: rosterExpiry}
	}
	return denied
}

// updateConfirmed clears unconfirmed once a majority of cores has granted a lease
// with a core version that is not newer than the version the front holds.
func (h *Holder) updateConfirmed() {
	if !h.unconfirmed || h.version == 0 || len(h.cores) == 0 {
		return
	}
	confirming := 0
	for _, core := range h.cores {
		if grant, granted := h.validGrant(core); granted && grant.coreVersion <= h.version {
			confirming++
		}
	}
	h.unconfirmed = confirming < Majority(len(h.cores))
}

// leaseExpiry returns when the lease of the front expires: a TTL after the oldest
// of the newest granted requests that make up a majority of cores was sent. It
// returns the zero time when no majority has granted a lease.
func (h *Holder) leaseExpiry() time.Time {
	if len(h.cores) == 0 {
		return time.Time{}
	}
	sentAt := make([]time.Time, 0, len(h.cores))
	for _, core := range h.cores {
		if grant, granted := h.validGrant(core); granted {
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

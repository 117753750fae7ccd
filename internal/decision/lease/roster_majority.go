package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
)

// peerState is what a front's own pings have shown about another front.
type peerState struct {
	incarnation uint64
	// contactAt is the time of the newest contact: the sending of an answered ping
	// or a refusal that counted.
	contactAt time.Time
	// answeredAt is when the newest ping answered by a confirmed incarnation was
	// sent; zero when the peer does not count as responding.
	answeredAt time.Time
	// refusedAt is the time of the newest refusal that counted; zero when there is
	// none. See RecordRefusal.
	refusedAt time.Time
}

// RecordPingResponse records a peer's answer to a ping sent at sentAt. The answer
// reflects the peer's state at that instant or later. An answer to a ping sent
// before the newest recorded contact is ignored.
func (h *Holder) RecordPingResponse(name string, incarnation uint64, sentAt time.Time, version uint64, unconfirmed bool) {
	peer := h.ensurePeer(name)
	if sentAt.Before(peer.contactAt) {
		return
	}
	if incarnation != peer.incarnation {
		peer.incarnation = incarnation
		peer.answeredAt = time.Time{}
	}
	peer.refusedAt = time.Time{}
	peer.contactAt = sentAt
	if unconfirmed {
		peer.answeredAt = time.Time{}
		return
	}
	h.ObserveVersion(version)
	peer.answeredAt = sentAt
}

// RecordRefusal records a connection refused by a peer, at the instant it was
// observed. The peer is excluded from the roster majority only if contact was
// unbroken, that is, it answered or was so excluded within the last TTL. Otherwise
// it may have been partitioned from this front, served with a newer version and
// stopped since.
func (h *Holder) RecordRefusal(name string, refusedAt time.Time) {
	peer := h.ensurePeer(name)
	peer.answeredAt = time.Time{}
	if peer.contactAt.IsZero() || refusedAt.Sub(peer.contactAt) >= h.ttl {
		peer.refusedAt = time.Time{}
		return
	}
	peer.refusedAt = refusedAt
	peer.contactAt = refusedAt
}

// ensurePeer returns the state of a peer and creates it if there is none.
func (h *Holder) ensurePeer(name string) *peerState {
	peer, ok := h.peers[name]
	if !ok {
		peer = &peerState{}
		h.peers[name] = peer
	}
	return peer
}

// rosterExpiry returns when the authority by roster majority expires if no further
// answer arrives; the zero time when there is no such authority now. While a roster
// change is uncommitted, a majority of each of the two rosters is required.
func (h *Holder) rosterExpiry(now time.Time) time.Time {
	if h.newestVersion > h.version || len(h.rosters) == 0 {
		return time.Time{}
	}
	earliest := time.Time{}
	for i, roster := range h.rosters {
		expiry := h.majorityExpiry(roster, now)
		if expiry.IsZero() {
			return expiry
		}
		if i == 0 || expiry.Before(earliest) {
			earliest = expiry
		}
	}
	return earliest
}

// contactCount counts the members of a roster that respond to pings and those that
// refuse connections. The latter are excluded from the size of the roster.
type contactCount struct {
	responding int
	refusing   int
}

func (c contactCount) isMajorityOf(rosterSize int) bool {
	return c.responding*2 > rosterSize-c.refusing
}

// contactExpiry is an instant at which the given contacts stop counting.
type contactExpiry struct {
	expiresAt time.Time
	contactCount
}

// majorityExpiry returns the first instant at which the responding members are no
// longer a majority of the roster if no further answer arrives; the zero time when
// they are none now.
func (h *Holder) majorityExpiry(roster map[string]bool, now time.Time) time.Time {
	count, expiries := h.countContacts(roster, now)
	if !count.isMajorityOf(len(roster)) {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b contactExpiry) int { return a.expiresAt.Compare(b.expiresAt) })
	for _, expiry := range expiries {
		count.responding -= expiry.responding
		count.refusing -= expiry.refusing
		if !count.isMajorityOf(len(roster)) {
			return expiry.expiresAt
		}
	}
	return now.Add(h.ttl)
}

// countContacts counts the contacts within the last TTL. The front itself counts as
// responding. It also returns when the contact of each other member expires.
func (h *Holder) countContacts(roster map[string]bool, now time.Time) (contactCount, []contactExpiry) {
	var count contactCount
	var expiries []contactExpiry
	if roster[h.self] {
		count.responding++
	}
	for name := range roster {
		peer, ok := h.peers[name]
		if !ok || name == h.self {
			continue
		}
		if expiresAt := peer.answeredAt.Add(h.ttl); !peer.answeredAt.IsZero() && now.Before(expiresAt) {
			count.responding++
			expiries = append(expiries, contactExpiry{expiresAt: expiresAt, contactCount: contactCount{responding: 1}})
		}
		if expiresAt := peer.refusedAt.Add(h.ttl); !peer.refusedAt.IsZero() && now.Before(expiresAt) {
			count.refusing++
			expiries = append(expiries, contactExpiry{expiresAt: expiresAt, contactCount: contactCount{refusing: 1}})
		}
	}
	return count, expiries
}

// Majority returns the smallest integer greater than half of n.
func Majority(n int) int { return n/2 + 1 }

// frontNames returns the names of the members of a roster that run a front.
func frontNames(roster map[string]statemachine.Member) map[string]bool {
	names := make(map[string]bool, len(roster))
	for name, member := range roster {
		if member.Front {
			names[name] = true
		}
	}
	return names
}

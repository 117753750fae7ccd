package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
)

// peerState is what a front's own pings have shown about another front.
type peerState struct {
	incarnation uint64
	// contactAt is when the newest ping that was answered was sent.
	contactAt time.Time
	// answeredAt is when the newest ping answered by a confirmed incarnation was
	// sent; zero when the peer does not count as responding.
	answeredAt time.Time
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
	peer.contactAt = sentAt
	if unconfirmed {
		peer.answeredAt = time.Time{}
		return
	}
	h.ObserveVersion(version)
	peer.answeredAt = sentAt
}

// RecordRefusal records a connection refused by a peer, which then no longer counts as
// responding. It still counts as a member of the roster: a partition may refuse
// connections too.
func (h *Holder) RecordRefusal(name string) {
	h.ensurePeer(name).answeredAt = time.Time{}
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
// change is uncommitted, a majority of each of the two rosters is required. The authority
// ends rosterExtension after the last lease, whatever the roster answers.
func (h *Holder) rosterExpiry(leaseExpiry, now time.Time) time.Time {
	if h.newestVersion > h.version || len(h.rosters) == 0 || leaseExpiry.IsZero() {
		return time.Time{}
	}
	earliest := leaseExpiry.Add(rosterExtension(h.ttl))
	for _, roster := range h.rosters {
		expiry := h.majorityExpiry(roster, now)
		if expiry.IsZero() {
			return expiry
		}
		if expiry.Before(earliest) {
			earliest = expiry
		}
	}
	return earliest
}

// majorityExpiry returns the first instant at which the responding members are no
// longer a majority of the roster if no further answer arrives; the zero time when
// they are none now.
func (h *Holder) majorityExpiry(roster map[string]bool, now time.Time) time.Time {
	expiries := h.responseExpiries(roster, now)
	responding := len(expiries)
	if roster[h.self] {
		responding++
	}
	if responding < Majority(len(roster)) {
		return time.Time{}
	}
	slices.SortFunc(expiries, time.Time.Compare)
	for _, expiry := range expiries {
		responding--
		if responding < Majority(len(roster)) {
			return expiry
		}
	}
	return now.Add(h.ttl)
}

// responseExpiries returns, for each other member that has responded within the last TTL,
// when that was a TTL ago.
func (h *Holder) responseExpiries(roster map[string]bool, now time.Time) []time.Time {
	var expiries []time.Time
	for name := range roster {
		peer, ok := h.peers[name]
		if !ok || name == h.self || peer.answeredAt.IsZero() {
			continue
		}
		if expiry := peer.answeredAt.Add(h.ttl); now.Before(expiry) {
			expiries = append(expiries, expiry)
		}
	}
	return expiries
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

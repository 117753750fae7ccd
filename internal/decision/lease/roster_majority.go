package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/sheet"
)

// peer is what a front knows of another one from its own pings.
type peer struct {
	incarnation uint64
	// contactAt is the newest contact: an answer or a counted refusal.
	contactAt time.Time
	// confirmedAt is when the newest ping was sent that a confirmed incarnation
	// answered; zero when the peer does not count as heard.
	confirmedAt time.Time
	// refusedAt is the newest refusal in unbroken contact; zero when none counts.
	refusedAt time.Time
}

// RecordPingResponse records a peer's answer to a ping sent at sentAt: it proves
// what the peer was at that instant or later. Answers to earlier pings than the
// last one counted are dropped.
func (h *Holder) RecordPingResponse(name string, incarnation uint64, sentAt time.Time, version uint64, unconfirmed bool) {
	member := h.peer(name)
	if sentAt.Before(member.contactAt) {
		return
	}
	if incarnation != member.incarnation {
		member.incarnation = incarnation
		member.confirmedAt = time.Time{}
	}
	member.refusedAt = time.Time{}
	member.contactAt = sentAt
	if unconfirmed {
		member.confirmedAt = time.Time{}
		return
	}
	h.ObserveVersion(version)
	member.confirmedAt = sentAt
}

// RecordRefusal records a refused connection, at the instant it was observed. The
// peer leaves the count only in unbroken contact: it answered or so refused
// within the last TTL. Otherwise it may have been cut off, served by a newer
// version and stopped since.
func (h *Holder) RecordRefusal(name string, refusedAt time.Time) {
	member := h.peer(name)
	member.confirmedAt = time.Time{}
	if member.contactAt.IsZero() || refusedAt.Sub(member.contactAt) >= h.ttl {
		member.refusedAt = time.Time{}
		return
	}
	member.refusedAt = refusedAt
	member.contactAt = refusedAt
}

func (h *Holder) peer(name string) *peer {
	member, ok := h.peers[name]
	if !ok {
		member = &peer{}
		h.peers[name] = member
	}
	return member
}

// rosterExpiry returns when the authority by the roster expires if no further
// answer arrives; the zero time when there is none now. While a roster change is
// not settled a majority of both rosters is required.
func (h *Holder) rosterExpiry(now time.Time) time.Time {
	if h.newest > h.version || len(h.rosters) == 0 {
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

// contactCount counts the members of a roster that answered and those that
// refuse connections; the latter leave the count.
type contactCount struct {
	confirmed int
	refusing  int
}

func (c contactCount) isMajorityOf(rosterSize int) bool {
	return c.confirmed*2 > rosterSize-c.refusing
}

// contactExpiry is an instant at which contacts stop counting.
type contactExpiry struct {
	at time.Time
	contactCount
}

// majorityExpiry returns the first instant at which no more than half of a roster
// counts as heard if no further answer arrives; the zero time when that is so now.
func (h *Holder) majorityExpiry(roster map[string]bool, now time.Time) time.Time {
	count, expiries := h.countContacts(roster, now)
	if !count.isMajorityOf(len(roster)) {
		return time.Time{}
	}
	slices.SortFunc(expiries, func(a, b contactExpiry) int { return a.at.Compare(b.at) })
	for _, expiry := range expiries {
		count.confirmed -= expiry.confirmed
		count.refusing -= expiry.refusing
		if !count.isMajorityOf(len(roster)) {
			return expiry.at
		}
	}
	return now.Add(h.ttl)
}

// countContacts counts the contacts within the TTL, the front itself included,
// and returns when each of the others' expires.
func (h *Holder) countContacts(roster map[string]bool, now time.Time) (contactCount, []contactExpiry) {
	var count contactCount
	var expiries []contactExpiry
	if roster[h.self] {
		count.confirmed++
	}
	for name := range roster {
		member, ok := h.peers[name]
		if !ok || name == h.self {
			continue
		}
		if at := member.confirmedAt.Add(h.ttl); !member.confirmedAt.IsZero() && now.Before(at) {
			count.confirmed++
			expiries = append(expiries, contactExpiry{at: at, contactCount: contactCount{confirmed: 1}})
		}
		if at := member.refusedAt.Add(h.ttl); !member.refusedAt.IsZero() && now.Before(at) {
			count.refusing++
			expiries = append(expiries, contactExpiry{at: at, contactCount: contactCount{refusing: 1}})
		}
	}
	return count, expiries
}

// Majority returns the least count that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// frontNames returns the names of the members of a roster that run a front.
func frontNames(roster map[string]sheet.Member) map[string]bool {
	names := make(map[string]bool, len(roster))
	for name, member := range roster {
		if member.Front {
			names[name] = true
		}
	}
	return names
}

package quota

import "time"

// ownerSync is the state of a tenant's exchange of counts with its owner.
type ownerSync struct {
	owner        frontID   // that reported last
	totalsAsOf   time.Time // when the totals applied last were requested; zero: none yet
	waitingSince time.Time // first request without an answer; zero: none
	lastSent     time.Time
	unsent       float64 // tokens spent here since lastSent
	urgent       bool    // among the limiter's urgent accounts
	reportedIdle bool    // the owner knows that the tenant is not active here
}

func (s *ownerSync) hasTotals() bool { return !s.totalsAsOf.IsZero() }

func (s *ownerSync) waiting() bool { return !s.waitingSince.IsZero() }

func (s *ownerSync) waitingLongerThan(n intervals, config *Config, now time.Time) bool {
	return s.waiting() && now.Sub(s.waitingSince) > n.in(config)
}

func (s *ownerSync) ownerUnresponsive(config *Config, now time.Time) bool {
	return s.waitingLongerThan(ownerUnresponsiveAfter, config, now)
}

// reactivate ends a tenant's idleness. Unless the owner was unresponsive when the
// tenant was last used, a request without an answer from before is forgotten: no
// others followed that could have been answered.
func (s *ownerSync) reactivate(config *Config, lastUsed time.Time) {
	if !s.reportedIdle {
		return
	}
	s.reportedIdle = false
	if s.waiting() && lastUsed.Sub(s.waitingSince) <= ownerUnresponsiveAfter.in(config) {
		s.waitingSince = time.Time{}
	}
}

// restartWaiting discards the age of a request, which is no evidence about the owner
// after this process was suspended.
func (s *ownerSync) restartWaiting(now time.Time) {
	if s.waiting() {
		s.waitingSince = now
	}
}

func (s *ownerSync) sent(now time.Time) {
	if !s.waiting() {
		s.waitingSince = now
	}
	s.unsent = 0
	s.lastSent = now
}

// answered records an answer to a request that was sent at an instant. Answers may be
// out of order: totalsAsOf never goes back.
func (s *ownerSync) answered(owner frontID, sentAt time.Time) {
	s.waitingSince = time.Time{}
	s.owner = owner
	if !sentAt.Before(s.totalsAsOf) {
		s.totalsAsOf = sentAt
	}
}

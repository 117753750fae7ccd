package quota

import "time"

// ownerSync is the state of a tenant's exchange of counts with its owner.
type ownerSync struct {
	owner        frontID   // owner that responded last
	totalsAsOf   time.Time // when the latest received totals were requested; zero if none were received
	waitingSince time.Time // time of the first unanswered request; zero if there is none
	lastSentAt   time.Time
	unsent       float64 // tokens spent at this front since lastSentAt
	urgent       bool    // among the limiter's urgent accounts
	reportedIdle bool    // the tenant was reported to the owner as idle
}

func (s *ownerSync) hasTotals() bool { return !s.totalsAsOf.IsZero() }

func (s *ownerSync) waiting() bool { return !s.waitingSince.IsZero() }

func (s *ownerSync) waitingLongerThan(n intervals, config *Config, now time.Time) bool {
	return s.waiting() && now.Sub(s.waitingSince) > n.duration(config)
}

func (s *ownerSync) ownerUnresponsive(config *Config, now time.Time) bool {
	return s.waitingLongerThan(ownerUnresponsiveAfter, config, now)
}

// reactivate marks an idle tenant as active again. It discards an unanswered request from
// before, since no later requests were sent that the owner could have answered, unless
// the owner was already unresponsive when the tenant was last used.
func (s *ownerSync) reactivate(config *Config, lastUsed time.Time) {
	if !s.reportedIdle {
		return
	}
	s.reportedIdle = false
	if s.waiting() && lastUsed.Sub(s.waitingSince) <= ownerUnresponsiveAfter.duration(config) {
		s.waitingSince = time.Time{}
	}
}

// restartWaiting restarts the timeout of an unanswered request. After a suspension of
// this process, the request's age says nothing about the owner.
func (s *ownerSync) restartWaiting(now time.Time) {
	if s.waiting() {
		s.waitingSince = now
	}
}

func (s *ownerSync) recordSend(now time.Time) {
	if !s.waiting() {
		s.waitingSince = now
	}
	s.unsent = 0
	s.lastSentAt = now
}

// recordAnswer records the answer to a request that was sent at sentAt. Answers may be
// out of order, so totalsAsOf never decreases.
func (s *ownerSync) recordAnswer(owner frontID, sentAt time.Time) {
	s.waitingSince = time.Time{}
	s.owner = owner
	if !sentAt.Before(s.totalsAsOf) {
		s.totalsAsOf = sentAt
	}
}

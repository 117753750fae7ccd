package quotasync

import (
	"sync"
	"time"

	"stepwick/internal/decision/quota"
)

// maxLargeFleetWait limits the time for which a request is queued in a large fleet. It
// covers the time until the front's share by demand takes effect, and one round trip
// between regions.
const maxLargeFleetWait = 400 * time.Millisecond

// admitRequest is a call of Service.Admit, as sent to a shard.
type admitRequest struct {
	done      <-chan struct{} // closed when the context of the call ends
	tenant    string
	tokens    float64
	allowance quota.Allowance
	maxWait   time.Duration // applies in a large fleet only; see queueTimeout
	decision  chan quota.Decision
}

func newRequestPool() *sync.Pool {
	return &sync.Pool{New: func() any { return &admitRequest{decision: make(chan quota.Decision, 1)} }}
}

func (r *admitRequest) contextDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// pendingRequest is a request that is queued for an exchange, until deadline at most.
type pendingRequest struct {
	*admitRequest
	deadline time.Time
}

// admit decides on a request, or queues it if the next exchange may change the decision
// and fewer than Config.MaxPending requests are queued.
func (s *shard) admit(request *admitRequest) {
	decision := s.limiter.Admit(request.tenant, request.tokens, request.allowance, s.service.fleetNow())
	if !decision.Queue || len(s.pendingRequests) >= s.service.config.MaxPending {
		request.decision <- decision
		return
	}
	deadline := s.service.clock.Now().Add(s.queueTimeout(request))
	s.pendingRequests = append(s.pendingRequests, pendingRequest{request, deadline})
}

// queueTimeout returns the maximum time for which a request is queued. That is
// Config.QueueTimeout or, in a large fleet, the request's maxWait up to
// maxLargeFleetWait, whichever is longer. In a small fleet maxWait is ignored: a front
// has a share by demand of almost every tenant there, and requests that are queued for
// longer would together be allowed more than the remaining capacity.
func (s *shard) queueTimeout(request *admitRequest) time.Duration {
	if !s.inLargeFleet() {
		return s.service.config.QueueTimeout
	}
	return max(s.service.config.QueueTimeout, min(request.maxWait, maxLargeFleetWait))
}

// retryPending decides again on the queued requests, and drops those whose context has
// ended.
func (s *shard) retryPending() {
	if len(s.pendingRequests) == 0 {
		return
	}
	now := s.service.clock.Now()
	stillPending := s.pendingRequests[:0]
	for _, request := range s.pendingRequests {
		if request.contextDone() {
			continue
		}
		decision := s.limiter.AdmitQueued(request.tenant, request.tokens, request.allowance, s.service.fleetNow())
		if decision.Queue && now.Before(request.deadline) {
			stillPending = append(stillPending, request)
			continue
		}
		s.service.metrics.countQueued(decision)
		request.decision <- decision
	}
	clear(s.pendingRequests[len(stillPending):])
	s.pendingRequests = stillPending
}
